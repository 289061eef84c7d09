package org.troutpier.daemon.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.troutpier.common.collection.ExpiringMap;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.peer.ForwardOutcome;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Selects the routers that forward connections to upstreams. Confined to the traffic loop.
 * Invariants: a router that did not answer, or does not reach the upstream itself, is the last
 * choice for a while, but stays one: it may be the only router that can help; among equal ones the
 * choice is random, so that many partitioned routers spread over all that can.
 */
final class ForwarderSelector {

    /** How long a router is avoided that did not answer, or was busy, milliseconds. */
    private static final long UNAVAILABLE_MILLIS = 2000;

    /** How long a router is avoided that does not reach an upstream either, milliseconds. */
    private static final long UNREACHABLE_MILLIS = 2000;

    /** Rank of a suspected router: behind all others, wherever they are. */
    private static final int SUSPECTED_RANK = 10;

    /** Rank of a router that does not reach the upstream. */
    private static final int UNREACHABLE_RANK = 20;

    /** Rank of a router that did not answer, or was busy. */
    private static final int UNAVAILABLE_RANK = 40;

    /** How long a router is preferred that opened a connection, milliseconds. */
    private static final long PROVEN_MILLIS = 5000;

    /**
     * Number of proven routers from which on others are not tried. In a large fleet of which half
     * is partitioned, every other untried router would fail.
     */
    private static final int MIN_PROVEN = 2;

    private static final int MAX_REMEMBERED = 4096;

    /** The hall of this router. */
    private final HallId mHall;

    private final Supplier<List<Member>> mPeers;

    private final RandomGenerator mRandom;

    private final ExpiringMap<Incarnation, ForwardOutcome> mUnavailable =
            new ExpiringMap<>(MAX_REMEMBERED, UNAVAILABLE_MILLIS);

    private final ExpiringMap<Pair, ForwardOutcome> mUnreachable =
            new ExpiringMap<>(MAX_REMEMBERED, UNREACHABLE_MILLIS);

    /** The routers that last failed to reach any upstream, and so may be partitioned themselves. */
    private final ExpiringMap<Incarnation, ForwardOutcome> mSuspected =
            new ExpiringMap<>(MAX_REMEMBERED, UNREACHABLE_MILLIS);

    private final ExpiringMap<Incarnation, ForwardOutcome> mProven =
            new ExpiringMap<>(MAX_REMEMBERED, PROVEN_MILLIS);

    /** A router and an upstream. Immutable and thread safe. */
    private record Pair(Incarnation router, UpstreamIncarnation upstream) {}

    /**
     * Creates a selector.
     *
     * @param hall the hall of this router
     * @param peers the other routers that may be running; thread safe
     */
    ForwarderSelector(HallId hall, Supplier<List<Member>> peers, RandomGenerator random) {
        mHall = hall;
        mPeers = peers;
        mRandom = random;
    }

    /** Returns whether there are other routers at all. */
    boolean hasPeers() {
        return !mPeers.get().isEmpty();
    }

    /**
     * Selects a router.
     *
     * @param failed the routers that are left out
     * @param now the monotonic clock, milliseconds
     * @return one of those that are not avoided and over which bytes cross the fewest halls; empty
     *     if there is no other router
     */
    Optional<Member> select(UpstreamEntry upstream, Set<Incarnation> failed, long now) {
        List<Member> available =
                mPeers.get().stream().filter(peer -> !failed.contains(peer.incarnation())).toList();
        int first = available.stream().mapToInt(peer -> rank(peer, upstream, now)).min().orElse(0);
        List<Member> best =
                available.stream().filter(peer -> rank(peer, upstream, now) == first).toList();
        List<Member> proven =
                best.stream().filter(peer -> mProven.contains(peer.incarnation(), now)).toList();
        List<Member> candidates = proven.size() >= MIN_PROVEN ? proven : best;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns how many halls' borders the bytes cross, more for a router that is avoided. */
    private int rank(Member peer, UpstreamEntry upstream, long now) {
        Pair pair = new Pair(peer.incarnation(), upstream.incarnation());
        return (mUnavailable.contains(peer.incarnation(), now) ? UNAVAILABLE_RANK : 0)
                + (mUnreachable.contains(pair, now) ? UNREACHABLE_RANK : 0)
                + (mSuspected.contains(peer.incarnation(), now) ? SUSPECTED_RANK : 0)
                + (peer.hall().equals(mHall) ? 0 : 1)
                + (peer.hall().equals(upstream.hall()) ? 0 : 1);
    }

    /**
     * Records the outcome of a connection.
     *
     * @param now the monotonic clock, milliseconds
     */
    void record(
            Incarnation router, UpstreamIncarnation upstream, ForwardOutcome outcome, long now) {
        switch (outcome) {
            case OPENED -> {
                mProven.put(router, outcome, now);
                mSuspected.remove(router);
                mUnavailable.remove(router);
                mUnreachable.remove(new Pair(router, upstream));
            }
            case REFUSED, UNREACHABLE -> {
                mUnreachable.put(new Pair(router, upstream), outcome, now);
                mSuspected.put(router, outcome, now);
            }
            default -> {
                mProven.remove(router);
                mUnavailable.put(router, outcome, now);
            }
        }
    }
}
