package org.troutpier.daemon.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.SlidingWindowSum;

/**
 * Counts the recent requests of each flow at this router, whether admitted or not. Not thread safe.
 * Invariant: flows without a request in the window are removed with the next arrival.
 */
public final class ArrivalMeter {

    private static final int STEPS = 4;

    private final long mWindowMillis;

    private final Map<FlowKey, SlidingWindowSum> mFlows = new HashMap<>();

    /**
     * Creates an empty meter.
     *
     * @param windowMillis the length of the window, milliseconds
     */
    public ArrivalMeter(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Records the arrival of a request.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void record(FlowKey flow, long now) {
        mFlows.values().removeIf(sum -> sum.sum(now) <= 0);
        mFlows.computeIfAbsent(flow, key -> new SlidingWindowSum(mWindowMillis, STEPS)).add(1, now);
    }

    /**
     * Returns the number of recent requests of each rank, the most urgent first, without trailing
     * zeros.
     *
     * @param now the monotonic clock, milliseconds
     */
    public List<Long> byRank(long now) {
        double[] sums = new double[FlowKey.LEAST_URGENT_RANK + 1];
        mFlows.forEach((flow, sum) -> sums[flow.rank()] += sum.sum(now));
        List<Long> requests = new ArrayList<>();
        for (double sum : sums) {
            requests.add(Math.round(sum));
        }
        while (!requests.isEmpty() && requests.get(requests.size() - 1) == 0) {
            requests.remove(requests.size() - 1);
        }
        return requests;
    }

    /**
     * Returns the number of recent requests of each organisation within a rank.
     *
     * @param now the monotonic clock, milliseconds
     */
    public Map<PartnerId, Double> byOrganisation(int rank, long now) {
        Map<PartnerId, Double> requests = new HashMap<>();
        mFlows.forEach(
                (flow, sum) -> {
                    if (flow.rank() == rank) {
                        requests.put(flow.organisation(), sum.sum(now));
                    }
                });
        return requests;
    }
}
