package org.troutpier.daemon.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.SlidingWindowSum;

/**
 * Measures what arrived at this router and what it granted recently. Confined to one thread.
 * Invariant: organisations and classes without recent traffic are forgotten at the next report.
 */
final class RecentTraffic {

    /**
     * The window in which grants count, milliseconds: a burst of a few seconds is shared as a
     * whole, and what an organisation took before it is not held against it.
     */
    static final long GRANT_WINDOW_MILLIS = 4000;

    /** The window in which arrivals count, milliseconds: long enough to average over routers. */
    static final long ARRIVAL_WINDOW_MILLIS = 1000;

    private static final int STEPS = 8;

    private final Map<PartnerId, SlidingWindowSum> mGranted = new HashMap<>();

    private final Map<ClassKey, ClassSums> mClasses = new HashMap<>();

    /**
     * A service and an urgency. Immutable and thread safe.
     *
     * @param service the service
     * @param rank the urgency
     */
    private record ClassKey(String service, int rank) {

        private static ClassKey of(WaitingRequest request) {
            return new ClassKey(request.service(), request.claim().flow().rank());
        }
    }

    /**
     * The sums of one class. Mutable, confined like its owner.
     *
     * @param arrived the tokens of requests that arrived
     * @param granted the tokens that were granted
     */
    private record ClassSums(SlidingWindowSum arrived, SlidingWindowSum granted) {

        private ClassSums() {
            this(
                    new SlidingWindowSum(ARRIVAL_WINDOW_MILLIS, STEPS),
                    new SlidingWindowSum(GRANT_WINDOW_MILLIS, STEPS));
        }
    }

    void recordArrival(WaitingRequest request, long now) {
        sums(request).arrived().add(request.claim().cost(), now);
    }

    void recordGrant(WaitingRequest request, long now) {
        Claim claim = request.claim();
        sums(request).granted().add(claim.cost(), now);
        mGranted.computeIfAbsent(
                        claim.flow().organisation(),
                        id -> new SlidingWindowSum(GRANT_WINDOW_MILLIS, STEPS))
                .add(claim.cost(), now);
    }

    private ClassSums sums(WaitingRequest request) {
        return mClasses.computeIfAbsent(ClassKey.of(request), key -> new ClassSums());
    }

    /** Returns what an organisation was granted recently, in tokens. */
    double granted(PartnerId organisation, long now) {
        SlidingWindowSum sum = mGranted.get(organisation);
        return sum == null ? 0 : sum.sum(now);
    }

    /** Returns what each organisation was granted recently, in tokens. */
    Map<PartnerId, Double> granted(long now) {
        Map<PartnerId, Double> granted = new HashMap<>();
        Iterator<Map.Entry<PartnerId, SlidingWindowSum>> all = mGranted.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<PartnerId, SlidingWindowSum> each = all.next();
            double tokens = each.getValue().sum(now);
            if (tokens > 0) {
                granted.put(each.getKey(), tokens);
            } else {
                all.remove();
            }
        }
        return granted;
    }

    /** Returns the recent traffic of each class. */
    List<ClassTraffic> classes(long now) {
        List<ClassTraffic> classes = new ArrayList<>();
        Iterator<Map.Entry<ClassKey, ClassSums>> all = mClasses.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<ClassKey, ClassSums> each = all.next();
            double arrived = each.getValue().arrived().sum(now);
            double granted = each.getValue().granted().sum(now);
            if (arrived > 0 || granted > 0) {
                ClassKey key = each.getKey();
                classes.add(new ClassTraffic(key.service(), key.rank(), arrived, granted));
            } else {
                all.remove();
            }
        }
        return classes;
    }
}
