package org.troutpier.daemon.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.SlidingWindowSum;

/**
 * Measures who asked for a part of a limit lately at this router, admitted or not. Confined to one
 * thread. Invariant: who has not asked for a window takes no memory once another asks.
 */
public final class ArrivalMeter {

    /** How many steps a window is divided into. */
    private static final int STEPS = 4;

    /** How long the window is, milliseconds. */
    private final long mWindowMillis;

    /** What was asked, by rank and organisation. */
    private final Map<FlowKey, SlidingWindowSum> mAskers = new HashMap<>();

    /**
     * Creates a meter that has measured nothing.
     *
     * @param windowMillis how long the window is, milliseconds
     */
    public ArrivalMeter(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Records that a request is asked for.
     *
     * @param asker who asks
     * @param now the monotonic clock, milliseconds
     */
    public void record(FlowKey asker, long now) {
        mAskers.values().removeIf(sum -> sum.sum(now) <= 0);
        mAskers.computeIfAbsent(asker, any -> new SlidingWindowSum(mWindowMillis, STEPS))
                .add(1, now);
    }

    /**
     * Returns how much was asked of each rank.
     *
     * @param now the monotonic clock, milliseconds
     * @return requests, the most urgent rank first; as many entries as are needed
     */
    public List<Long> byRank(long now) {
        double[] sums = new double[FlowKey.LEAST_URGENT_RANK + 1];
        mAskers.forEach((asker, sum) -> sums[asker.rank()] += sum.sum(now));
        List<Long> asked = new ArrayList<>();
        for (double sum : sums) {
            asked.add(Math.round(sum));
        }
        while (!asked.isEmpty() && asked.get(asked.size() - 1) == 0) {
            asked.remove(asked.size() - 1);
        }
        return asked;
    }

    /**
     * Returns how much each organisation asked within a rank.
     *
     * @param rank the rank
     * @param now the monotonic clock, milliseconds
     * @return requests by organisation
     */
    public Map<PartnerId, Double> byOrganisation(int rank, long now) {
        Map<PartnerId, Double> asked = new HashMap<>();
        mAskers.forEach(
                (asker, sum) -> {
                    if (asker.rank() == rank) {
                        asked.put(asker.organisation(), sum.sum(now));
                    }
                });
        return asked;
    }
}
