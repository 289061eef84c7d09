package org.troutpier.daemon.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.Incarnation;

/**
 * Suspects routers that should send messages regularly and have stopped. Confined to the control
 * thread. Invariant: a router is suspected only after it was expected for {@link #TIMEOUT_MILLIS},
 * and for {@link #SUSPICION_MILLIS} at most before it is tried again.
 */
final class PeerFailureDetector {

    /**
     * Silence after which a router is suspected, milliseconds: twice the longest interval between
     * two messages.
     */
    static final long TIMEOUT_MILLIS = 1000;

    /** Time for which a suspected router is not used, milliseconds. */
    static final long SUSPICION_MILLIS = 5000;

    /**
     * The time of each expected router's last message, or since when it is expected, milliseconds.
     */
    private final Map<Incarnation, Long> mLastContactMillis = new HashMap<>();

    /** The time until which each suspected router is not used, milliseconds. */
    private final Map<Incarnation, Long> mSuspectedUntilMillis = new HashMap<>();

    /**
     * Records a message of a router, which ends its suspicion.
     *
     * @param now the monotonic clock, milliseconds
     */
    void recordContact(Incarnation router, long now) {
        mLastContactMillis.replace(router, now);
        mSuspectedUntilMillis.remove(router);
    }

    /**
     * Sets the expected routers and updates the suspicions.
     *
     * @param routers the routers that must send messages regularly
     * @param now the monotonic clock, milliseconds
     * @return whether the set of suspected routers changed
     */
    boolean update(Collection<Incarnation> routers, long now) {
        Set<Incarnation> before = Set.copyOf(mSuspectedUntilMillis.keySet());
        mLastContactMillis.keySet().retainAll(routers);
        routers.forEach(router -> mLastContactMillis.putIfAbsent(router, now));
        mLastContactMillis.forEach(
                (router, at) -> {
                    if (now - at > TIMEOUT_MILLIS) {
                        mSuspectedUntilMillis.put(router, now + SUSPICION_MILLIS);
                    }
                });
        mSuspectedUntilMillis.values().removeIf(until -> until <= now);
        mLastContactMillis.keySet().removeAll(mSuspectedUntilMillis.keySet());
        return !before.equals(mSuspectedUntilMillis.keySet());
    }

    boolean isSuspected(Incarnation router) {
        return mSuspectedUntilMillis.containsKey(router);
    }
}
