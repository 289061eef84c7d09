package org.troutpier.daemon.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.instancelist.InstanceList;

/**
 * Who the other routers are and which of them are gone, from the lagging instance list and from
 * their own heartbeats. Thread safe by its lock; makes no I/O. Invariant: an incarnation is gone
 * only when the list does not show it alive <em>and</em> it has been silent for the grace, and
 * never because the list cannot be had.
 */
public final class Membership {

    /** How long an incarnation must be missing and silent to be gone, nanoseconds. */
    public static final long GRACE_NANOS = 2_000_000_000L;

    /** How long a heartbeat counts, nanoseconds. */
    public static final long HEARD_NANOS = 1_500_000_000L;

    /** How many missing incarnations are remembered. */
    private static final int MOST_MISSING = 10_000;

    /** This router. */
    private final Member mSelf;

    /** The monotonic clock. */
    private final LongSupplier mNanos;

    /** The routers that the list shows, by incarnation. */
    private Map<Incarnation, Member> mListed = Map.of();

    /** When each incarnation was heard last. */
    private final Map<Incarnation, Long> mHeard = new HashMap<>();

    /** The members that were heard, by incarnation. */
    private final Map<Incarnation, Member> mHeardMembers = new HashMap<>();

    /** Since when an incarnation is missing and silent. */
    private final Map<Incarnation, Long> mMissingSince = new HashMap<>();

    /** Whether the list was had at least once. */
    private boolean mListSeen;

    /**
     * One router. Immutable and thread safe.
     *
     * @param incarnation which start of which instance
     * @param hall its hall
     * @param address where its peers reach it
     * @param leaving whether it takes no new work
     */
    public record Member(Incarnation incarnation, HallId hall, String address, boolean leaving) {}

    /**
     * Creates the view of a router that knows only itself.
     *
     * @param self this router
     * @param nanos the monotonic clock
     */
    public Membership(Member self, LongSupplier nanos) {
        mSelf = self;
        mNanos = nanos;
    }

    /**
     * Returns this router.
     *
     * @return the member that this router is
     */
    public Member self() {
        return mSelf;
    }

    /**
     * Takes a list from the platform.
     *
     * @param instances the list
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
        mListSeen = true;
    }

    /**
     * Takes note that a router was heard.
     *
     * @param member the router
     */
    public synchronized void recordContact(Member member) {
        mHeard.put(member.incarnation(), mNanos.getAsLong());
        mHeardMembers.put(member.incarnation(), member);
        mMissingSince.remove(member.incarnation());
    }

    /**
     * Lists the routers that are alive by either source, this one included, in a fixed order. Of
     * two starts of one instance the one that was heard later counts.
     *
     * @return the members
     */
    public synchronized List<Member> live() {
        Map<String, Member> live = new TreeMap<>();
        mListed.values()
                .forEach(member -> live.put(member.incarnation().instance().value(), member));
        long now = mNanos.getAsLong();
        mHeardMembers.values().stream()
                .filter(member -> heardRecently(member.incarnation(), now))
                .sorted((a, b) -> Long.compare(heardAt(a), heardAt(b)))
                .forEach(member -> live.put(member.incarnation().instance().value(), member));
        live.put(mSelf.incarnation().instance().value(), mSelf);
        return List.copyOf(live.values());
    }

    /**
     * Lists the routers that take work, this one included.
     *
     * @return the members that are alive and not leaving
     */
    public List<Member> serving() {
        List<Member> serving = new ArrayList<>(live());
        serving.removeIf(member -> member.leaving() && !member.equals(mSelf));
        return Collections.unmodifiableList(serving);
    }

    /**
     * Returns whether an incarnation is gone for good.
     *
     * @param incarnation the incarnation
     * @return whether it is missing from the list and has been silent for the grace
     */
    public synchronized boolean isGone(Incarnation incarnation) {
        long now = mNanos.getAsLong();
        boolean alive =
                incarnation.equals(mSelf.incarnation())
                        || mListed.containsKey(incarnation)
                        || heardRecently(incarnation, now);
        if (alive || !mListSeen) {
            mMissingSince.remove(incarnation);
            return false;
        }
        if (mMissingSince.size() > MOST_MISSING) {
            mMissingSince.clear();
        }
        long since = mMissingSince.computeIfAbsent(incarnation, missing -> now);
        return now - since >= GRACE_NANOS;
    }

    /**
     * Returns whether a router was heard lately.
     *
     * @param incarnation the router
     * @return whether its heartbeat still counts
     */
    public synchronized boolean heardRecently(Incarnation incarnation) {
        return heardRecently(incarnation, mNanos.getAsLong());
    }

    /**
     * Returns whether the list shows this very start of this router.
     *
     * @return whether the platform, and so the others, can know of it
     */
    public synchronized boolean isSelfListed() {
        return mListed.containsKey(mSelf.incarnation());
    }

    /** Forgets routers that have been silent for long. */
    public synchronized void forget() {
        long now = mNanos.getAsLong();
        final int many = 100;
        mHeard.entrySet().removeIf(entry -> now - entry.getValue() > many * HEARD_NANOS);
        mHeardMembers.keySet().retainAll(mHeard.keySet());
    }

    /**
     * Returns whether a router was heard lately.
     *
     * @param incarnation the router
     * @param now the time
     * @return whether its heartbeat still counts
     */
    private boolean heardRecently(Incarnation incarnation, long now) {
        Long at = mHeard.get(incarnation);
        return at != null && now - at < HEARD_NANOS;
    }

    /**
     * Returns when a member was heard last.
     *
     * @param member the member
     * @return the time
     */
    private long heardAt(Member member) {
        return mHeard.getOrDefault(member.incarnation(), Long.MIN_VALUE);
    }
}
