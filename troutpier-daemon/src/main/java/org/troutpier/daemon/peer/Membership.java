package org.troutpier.daemon.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.instancelist.InstanceList;

/**
 * Tracks the other routers, from the platform's instance list, which lags, and from their own
 * heartbeats. Thread safe: all state is guarded by the lock of the instance. Makes no I/O.
 * Invariant: an incarnation is gone only if the list does not show it as alive <em>and</em> it has
 * been silent for {@link #GONE_GRACE_NANOS}, and never because the list is unavailable.
 */
public final class Membership {

    /** Time for which an incarnation must be missing from the list and silent before it is gone. */
    public static final long GONE_GRACE_NANOS = 2_000_000_000L;

    /** Time after which a heartbeat no longer counts. */
    public static final long HEARTBEAT_VALIDITY_NANOS = 1_500_000_000L;

    /** Number of remembered missing incarnations above which all of them are forgotten. */
    private static final int MAX_MISSING = 10_000;

    private final Member mSelf;

    private final LongSupplier mNanos;

    private Map<Incarnation, Member> mListed = Map.of();

    /** Time of the last message of each incarnation, nanoseconds on the monotonic clock. */
    private final Map<Incarnation, Long> mLastHeard = new HashMap<>();

    private final Map<Incarnation, Member> mHeardMembers = new HashMap<>();

    /**
     * Time since which an incarnation has been missing and silent, nanoseconds on the monotonic
     * clock.
     */
    private final Map<Incarnation, Long> mMissingSince = new HashMap<>();

    private boolean mListReceived;

    /**
     * A router. Immutable and thread safe.
     *
     * @param incarnation the incarnation of its instance
     * @param hall its data hall
     * @param address the address at which peers connect to it
     * @param leaving whether it accepts no new work
     */
    public record Member(Incarnation incarnation, HallId hall, String address, boolean leaving) {

        /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Member that
                    && Objects.equals(incarnation, that.incarnation)
                    && Objects.equals(hall, that.hall)
                    && Objects.equals(address, that.address)
                    && leaving == that.leaving;
        }

        /** {@inheritDoc} */
        @Override
        public int hashCode() {
            return Objects.hashCode(incarnation);
        }
    }

    /**
     * Creates a membership that contains only this router.
     *
     * @param self this router
     * @param nanos the monotonic clock, nanoseconds
     */
    public Membership(Member self, LongSupplier nanos) {
        mSelf = self;
        mNanos = nanos;
    }

    /** Returns this router as a member. */
    public Member self() {
        return mSelf;
    }

    /**
     * Replaces the members that the instance list shows. Upstreams and instances that are gone are
     * skipped.
     *
     * @param instances the instance list
     */
    public synchronized void updateListed(List<InstanceList.Instance> instances) {
        Map<Incarnation, Member> listed = new HashMap<>();
        for (InstanceList.Instance instance : instances) {
            if (instance.router() && !instance.gone()) {
                Incarnation incarnation = new Incarnation(instance.incarnation());
                listed.put(
                        incarnation,
                        new Member(
                                incarnation,
                                new HallId(instance.hall()),
                                instance.peer(),
                                instance.leaving()));
            }
        }
        mListed = listed;
        mListReceived = true;
    }

    /**
     * Records that a message of a router has arrived.
     *
     * @param member the router
     */
    public synchronized void recordContact(Member member) {
        mLastHeard.put(member.incarnation(), mNanos.getAsLong());
        mHeardMembers.put(member.incarnation(), member);
        mMissingSince.remove(member.incarnation());
    }

    /**
     * Returns the routers that are alive according to the list or to their heartbeats, this one
     * included, ordered by instance. If two incarnations of an instance qualify, the one heard last
     * counts.
     */
    public synchronized List<Member> live() {
        Map<String, Member> live = new TreeMap<>();
        mListed.values()
                .forEach(member -> live.put(member.incarnation().instance().value(), member));
        long now = mNanos.getAsLong();
        mHeardMembers.values().stream()
                .filter(member -> heardRecently(member.incarnation(), now))
                .sorted((a, b) -> Long.compare(lastHeard(a), lastHeard(b)))
                .forEach(member -> live.put(member.incarnation().instance().value(), member));
        live.put(mSelf.incarnation().instance().value(), mSelf);
        return List.copyOf(live.values());
    }

    /** Returns the live routers that are not leaving, and this router in any case. */
    public List<Member> serving() {
        List<Member> serving = new ArrayList<>(live());
        serving.removeIf(member -> member.leaving() && !member.equals(mSelf));
        return Collections.unmodifiableList(serving);
    }

    /**
     * Returns whether an incarnation is gone for good: missing from the list and silent for {@link
     * #GONE_GRACE_NANOS}. The time runs from the first call that finds it missing and silent.
     */
    public synchronized boolean isGone(Incarnation incarnation) {
        long now = mNanos.getAsLong();
        boolean alive =
                incarnation.equals(mSelf.incarnation())
                        || mListed.containsKey(incarnation)
                        || heardRecently(incarnation, now);
        if (alive || !mListReceived) {
            mMissingSince.remove(incarnation);
            return false;
        }
        if (mMissingSince.size() > MAX_MISSING) {
            mMissingSince.clear();
        }
        long since = mMissingSince.computeIfAbsent(incarnation, missing -> now);
        return now - since >= GONE_GRACE_NANOS;
    }

    /**
     * Returns whether a heartbeat of a router still counts.
     *
     * @param incarnation the router
     */
    public synchronized boolean heardRecently(Incarnation incarnation) {
        return heardRecently(incarnation, mNanos.getAsLong());
    }

    /**
     * Returns whether the instance list shows this incarnation of this router, so that the platform
     * and other routers can know of it.
     */
    public synchronized boolean isSelfListed() {
        return mListed.containsKey(mSelf.incarnation());
    }

    /**
     * Forgets routers that have been silent for a hundred times {@link #HEARTBEAT_VALIDITY_NANOS}.
     */
    public synchronized void evictSilent() {
        long now = mNanos.getAsLong();
        final int factor = 100;
        mLastHeard
                .entrySet()
                .removeIf(entry -> now - entry.getValue() > factor * HEARTBEAT_VALIDITY_NANOS);
        mHeardMembers.keySet().retainAll(mLastHeard.keySet());
    }

    private boolean heardRecently(Incarnation incarnation, long now) {
        Long at = mLastHeard.get(incarnation);
        return at != null && now - at < HEARTBEAT_VALIDITY_NANOS;
    }

    private long lastHeard(Member member) {
        return mLastHeard.getOrDefault(member.incarnation(), Long.MIN_VALUE);
    }
}
