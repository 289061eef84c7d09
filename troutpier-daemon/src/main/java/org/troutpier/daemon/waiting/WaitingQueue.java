package org.troutpier.daemon.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.troutpier.daemon.admission.FairQueue;
import org.troutpier.daemon.decision.QueueTier;

/**
 * The requests that wait at this router for one kind of capacity: by queue tier, then by urgency
 * where that is regarded, then by organisation in turn, by what each was granted, and within an
 * organisation by the latest start. Not thread safe; confined to the traffic loop. Invariant: an
 * item is in the queue under the claim with which it was added.
 *
 * @param <T> type of the queued items
 */
public final class WaitingQueue<T> {

    private static final FairQueue.Weights EQUAL_WEIGHTS = organisation -> 1;

    /** Whether more urgent items precede less urgent ones. */
    private final boolean mOrdersByUrgency;

    /** The items of each tier and urgency, in the order in which they are served. */
    private final Map<Level, FairQueue<T>> mLevels =
            new TreeMap<>(Comparator.comparing(Level::tier).thenComparingInt(Level::rank));

    /**
     * Items that differ only by organisation and latest start. Immutable and thread safe.
     *
     * @param tier the queue tier
     * @param rank the urgency; 0 is the most urgent, or all where urgency is not regarded
     */
    private record Level(QueueTier tier, int rank) {}

    /** Creates an empty queue in which more urgent items precede less urgent ones. */
    public WaitingQueue() {
        this(true);
    }

    /**
     * Creates an empty queue.
     *
     * @param ordersByUrgency whether more urgent items precede less urgent ones
     */
    public WaitingQueue(boolean ordersByUrgency) {
        mOrdersByUrgency = ordersByUrgency;
    }

    /** Adds an item. */
    public void add(Claim claim, T item) {
        add(claim, item, claim.latestStartMillis());
    }

    /**
     * Adds an item that keeps its place by arrival where urgency is not regarded.
     *
     * @param arrival increases with each new item; the same if an item is added again
     */
    public void add(Claim claim, T item, long arrival) {
        long place = mOrdersByUrgency ? claim.latestStartMillis() : arrival;
        level(claim).add(claim.flow().organisation(), item, place, claim.cost());
    }

    /** Removes all items, in the order in which they are served, and charges no organisation. */
    public List<T> drain() {
        List<T> order = new ArrayList<>();
        mLevels.values().forEach(queue -> order.addAll(queue.drain(EQUAL_WEIGHTS)));
        return order;
    }

    /** Charges an organisation for a claim that was granted, so that others get their turn. */
    public void charge(Claim claim) {
        level(claim).charge(claim.flow().organisation(), claim.cost(), EQUAL_WEIGHTS);
    }

    /**
     * Removes an item.
     *
     * @return whether it was in the queue
     */
    public boolean remove(Claim claim, T item) {
        return level(claim).remove(claim.flow().organisation(), item);
    }

    /** Calls an action for all items, in no particular order. */
    public void forEach(Consumer<T> action) {
        mLevels.values().forEach(queue -> queue.forEach(action));
    }

    /**
     * Adds the items to a sum of what is served before a claim.
     *
     * @param claims returns the claim of an item, or null if the item waits for other capacity
     */
    public void addTo(ServedBefore servedBefore, Function<T, Claim> claims) {
        forEach(
                item -> {
                    Claim claim = claims.apply(item);
                    if (claim != null) {
                        servedBefore.add(claim);
                    }
                });
    }

    /** Returns the number of items. */
    public int size() {
        return mLevels.values().stream().mapToInt(FairQueue::size).sum();
    }

    private FairQueue<T> level(Claim claim) {
        int rank = mOrdersByUrgency ? claim.flow().rank() : 0;
        return mLevels.computeIfAbsent(new Level(claim.tier(), rank), level -> new FairQueue<>());
    }
}
