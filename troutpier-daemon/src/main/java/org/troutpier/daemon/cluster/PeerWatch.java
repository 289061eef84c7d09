package org.troutpier.daemon.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.Incarnation;

/**
 * Which routers that should be heard regularly have fallen silent. Confined to the control thread.
 * Invariant: a router is suspected only after it was expected for {@link #SILENT_MILLIS}, and for
 * {@link #SUSPECTED_MILLIS} at most before it is tried again.
 */
final class PeerWatch {

    /** After which silence a router is suspected, milliseconds: two of the longest pauses. */
    static final long SILENT_MILLIS = 1000;

    /** How long a suspected router is not used, milliseconds. */
    static final long SUSPECTED_MILLIS = 5000;

    /** When each expected router was heard last, or since when it is expected, milliseconds. */
    private final Map<Incarnation, Long> mHeardAt = new HashMap<>();

    /** Until when each suspected router is not used, milliseconds. */
    private final Map<Incarnation, Long> mSuspectedUntil = new HashMap<>();

    /**
     * Takes note that a router was heard.
     *
     * @param router the router
     * @param now the monotonic clock, milliseconds
     */
    void heard(Incarnation router, long now) {
        mHeardAt.replace(router, now);
        mSuspectedUntil.remove(router);
    }

    /**
     * Sets from whom messages are expected.
     *
     * @param routers the routers
     * @param now the monotonic clock, milliseconds
     * @return whether other routers are suspected than before
     */
    boolean expect(Collection<Incarnation> routers, long now) {
        Set<Incarnation> before = Set.copyOf(mSuspectedUntil.keySet());
        mHeardAt.keySet().retainAll(routers);
        routers.forEach(router -> mHeardAt.putIfAbsent(router, now));
        mHeardAt.forEach(
                (router, at) -> {
                    if (now - at > SILENT_MILLIS) {
                        mSuspectedUntil.put(router, now + SUSPECTED_MILLIS);
                    }
                });
        mSuspectedUntil.values().removeIf(until -> until <= now);
        mHeardAt.keySet().removeAll(mSuspectedUntil.keySet());
        return !before.equals(mSuspectedUntil.keySet());
    }

    /**
     * Returns whether a router is suspected to be silent.
     *
     * @param router the router
     * @return whether it is
     */
    boolean suspected(Incarnation router) {
        return mSuspectedUntil.containsKey(router);
    }
}
