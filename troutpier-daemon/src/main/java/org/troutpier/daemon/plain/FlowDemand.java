package org.troutpier.daemon.plain;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.troutpier.daemon.decision.SlidingWindowSum;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.limit.RecentArrivals;

/**
 * The demand of each urgency and organisation for one service at this router. Not thread safe;
 * confined to the traffic loop. Invariant: bounded in the number of flows.
 */
final class FlowDemand {

    private static final int WINDOW_STEPS = 5;

    /** Flows that are measured by themselves; others are added up without an organisation. */
    private static final int MAX_FLOWS = 64;

    private final Map<FlowKey, SlidingWindowSum> mFlows = new HashMap<>();

    /** Records a call that was submitted. */
    void record(FlowKey flow, long now) {
        boolean measured = mFlows.containsKey(flow) || mFlows.size() < MAX_FLOWS;
        FlowKey key = measured ? flow : new FlowKey(flow.rank(), FlowKey.NO_ORGANISATION);
        mFlows.computeIfAbsent(
                        key,
                        any -> new SlidingWindowSum(RecentArrivals.WINDOW_MILLIS, WINDOW_STEPS))
                .add(1, now);
    }

    /**
     * Adds the calls of the last {@link RecentArrivals#WINDOW_MILLIS} to a list.
     *
     * @param now the current time, milliseconds
     */
    void addEntries(String service, long now, List<RecentArrivals.Entry> entries) {
        Iterator<Map.Entry<FlowKey, SlidingWindowSum>> flows = mFlows.entrySet().iterator();
        while (flows.hasNext()) {
            Map.Entry<FlowKey, SlidingWindowSum> each = flows.next();
            double calls = each.getValue().sum(now);
            if (calls <= 0) {
                flows.remove();
            } else {
                FlowKey flow = each.getKey();
                entries.add(
                        new RecentArrivals.Entry(service, flow.rank(), flow.organisation(), calls));
            }
        }
    }
}
