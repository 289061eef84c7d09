package org.troutpier.daemon.plain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.SlidingWindowSum;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * The demand of each urgency and organisation for one service at this router. Not thread safe;
 * confined to the traffic loop. Invariant: bounded in the number of flows.
 */
final class FlowDemand {

    private static final long WINDOW_MILLIS = 1000;

    private static final int WINDOW_STEPS = 5;

    /** Flows that are measured by themselves; others are added up without an organisation. */
    private static final int MAX_FLOWS = 64;

    private final Map<FlowKey, SlidingWindowSum> mFlows = new HashMap<>();

    /** Records a call that was submitted. */
    void record(FlowKey flow, long now) {
        boolean measured = mFlows.containsKey(flow) || mFlows.size() < MAX_FLOWS;
        FlowKey key = measured ? flow : new FlowKey(flow.rank(), FlowKey.NO_ORGANISATION);
        mFlows.computeIfAbsent(key, any -> new SlidingWindowSum(WINDOW_MILLIS, WINDOW_STEPS))
                .add(1, now);
    }

    /**
     * Returns the calls that are expected within a time, if other routers have the same demand.
     * Routers cannot know each other's calls of that time when they decide.
     *
     * @param millis the time
     * @param routers the number of routers
     * @param now the current time, milliseconds
     */
    List<WaitingReport.Entry> expected(String service, double millis, int routers, long now) {
        List<WaitingReport.Entry> expected = new ArrayList<>(mFlows.size());
        Iterator<Map.Entry<FlowKey, SlidingWindowSum>> flows = mFlows.entrySet().iterator();
        while (flows.hasNext()) {
            Map.Entry<FlowKey, SlidingWindowSum> each = flows.next();
            double calls = each.getValue().sum(now) * routers * millis / WINDOW_MILLIS;
            if (calls <= 0) {
                flows.remove();
            } else {
                expected.add(
                        new WaitingReport.Entry(
                                service,
                                QueueTier.IN_TIME,
                                each.getKey().rank(),
                                each.getKey().organisation(),
                                calls,
                                0));
            }
        }
        return expected;
    }
}
