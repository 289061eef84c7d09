package org.troutpier.daemon.serving;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.troutpier.common.collection.ExpiringMap;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.quarantine.CrashTrait;

/**
 * The calls that were lost lately at upstreams that this router did not find crashed. Another
 * router may find the crash, where an upstream's next start already answers this router's probe.
 * Confined to the traffic loop. Invariant: the number and the age of the calls are bounded, and
 * their bodies are not kept.
 */
final class UnexplainedLosses {

    /** How long a call is kept, milliseconds: as long as a crash takes to be found and reported. */
    private static final long TTL_MILLIS = 2000;

    private static final int MAX_UPSTREAMS = 1000;

    /** Maximum number of calls kept for an upstream: as many as run there. */
    private static final int MAX_CALLS = 64;

    private final ExpiringMap<UpstreamIncarnation, Deque<Loss>> mLosses =
            new ExpiringMap<>(MAX_UPSTREAMS, TTL_MILLIS);

    /**
     * A lost call. Immutable and thread safe.
     *
     * @param traits the traits of its request
     * @param at when it was lost, milliseconds
     */
    record Loss(List<CrashTrait> traits, long at) {}

    /**
     * Adds a lost call.
     *
     * @param now the monotonic clock, milliseconds
     */
    void add(UpstreamIncarnation upstream, List<CrashTrait> traits, long now) {
        Deque<Loss> losses = recent(upstream, now);
        losses.addLast(new Loss(traits, now));
        if (losses.size() > MAX_CALLS) {
            losses.removeFirst();
        }
        mLosses.put(upstream, losses, now);
    }

    /**
     * Removes the calls that were lost at an upstream.
     *
     * @param now the monotonic clock, milliseconds
     * @return those that are kept still
     */
    Collection<Loss> remove(UpstreamIncarnation upstream, long now) {
        Deque<Loss> losses = recent(upstream, now);
        mLosses.remove(upstream);
        return losses;
    }

    private Deque<Loss> recent(UpstreamIncarnation upstream, long now) {
        Deque<Loss> losses = mLosses.get(upstream, now).orElseGet(ArrayDeque::new);
        losses.removeIf(loss -> now - loss.at() > TTL_MILLIS);
        return losses;
    }
}
