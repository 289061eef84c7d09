package org.troutpier.daemon.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.troutpier.common.id.PartnerId;

/**
 * Queues of several partners: weighted fair between them, earliest deadline first within one. Pure
 * decision, confined to one thread. Invariant: of two partners that both wait, each is served in
 * proportion to its weight, whatever the other's queue length.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {

    /** What waits, by partner. */
    private final Map<PartnerId, Lane<T>> mLanes = new HashMap<>();

    /** The virtual time of the partner served last. */
    private double mVirtualTime;

    /** Breaks ties between equal deadlines by arrival. */
    private long mArrivals;

    /** How many wait in all. */
    private int mSize;

    /**
     * One that waits.
     *
     * @param item what waits
     * @param deadline when it must be served
     * @param arrival its place among equals
     * @param cost how much of its partner's share it takes
     * @param <T> what waits
     */
    private record Waiting<T>(T item, long deadline, long arrival, double cost) {}

    /**
     * One partner's queue.
     *
     * @param <T> what waits
     */
    private static final class Lane<T> {

        /** What waits, earliest deadline first. */
        private final PriorityQueue<Waiting<T>> mWaiting =
                new PriorityQueue<>(
                        Comparator.<Waiting<T>>comparingLong(Waiting::deadline)
                                .thenComparingLong(Waiting::arrival));

        /** How much the partner has been served, divided by its weight. */
        private double mServed;
    }

    /**
     * Adds one that waits.
     *
     * @param partner whose it is
     * @param item what waits
     * @param deadline when it must be served; earlier goes first
     * @param cost how much of the partner's share it takes
     */
    public void add(PartnerId partner, T item, long deadline, double cost) {
        Lane<T> lane = mLanes.computeIfAbsent(partner, id -> new Lane<>());
        if (lane.mWaiting.isEmpty()) {
            lane.mServed = Math.max(lane.mServed, mVirtualTime);
        }
        lane.mWaiting.add(new Waiting<>(item, deadline, mArrivals++, cost));
        mSize++;
    }

    /**
     * Returns the next to be served without taking it.
     *
     * @return the next, or empty where none waits
     */
    public Optional<T> peek() {
        return next().map(lane -> lane.mWaiting.peek().item());
    }

    /**
     * Charges a partner for one that was served, also one that did not wait.
     *
     * @param partner the partner
     * @param cost how much of its share was taken
     * @param weight the weight of each partner
     */
    public void charge(PartnerId partner, double cost, Weights weight) {
        Lane<T> lane = mLanes.computeIfAbsent(partner, id -> new Lane<>());
        mVirtualTime = Math.max(mVirtualTime, lane.mServed);
        lane.mServed += cost / weight.of(partner);
    }

    /**
     * Takes the next to be served and charges its partner.
     *
     * @param weight the weight of each partner
     * @return the next, or empty where none waits
     */
    public Optional<T> poll(Weights weight) {
        Optional<Map.Entry<PartnerId, Lane<T>>> next = nextEntry();
        if (next.isEmpty()) {
            return Optional.empty();
        }
        Waiting<T> first = next.get().getValue().mWaiting.poll();
        mSize--;
        charge(next.get().getKey(), first.cost(), weight);
        return Optional.of(first.item());
    }

    /**
     * Takes out all that wait, in the order in which they would be served, without charging anyone:
     * those that find no room are added again.
     *
     * @param weight the weight of each partner
     * @return all that waited
     */
    public List<T> drain(Weights weight) {
        List<T> order = new ArrayList<>();
        Map<PartnerId, Double> served = new HashMap<>();
        mLanes.forEach((partner, lane) -> served.put(partner, lane.mServed));
        double before = mVirtualTime;
        for (Optional<T> next = poll(weight); next.isPresent(); next = poll(weight)) {
            order.add(next.get());
        }
        mVirtualTime = before;
        served.forEach((partner, charged) -> mLanes.get(partner).mServed = charged);
        return order;
    }

    /**
     * Shows all that wait, in no order.
     *
     * @param viewer is shown each
     */
    public void forEach(Consumer<T> viewer) {
        mLanes.values().forEach(lane -> lane.mWaiting.forEach(one -> viewer.accept(one.item())));
    }

    /**
     * Takes out one that no longer waits.
     *
     * @param partner whose it is
     * @param item what waited
     * @return whether it was there
     */
    public boolean remove(PartnerId partner, T item) {
        Lane<T> lane = mLanes.get(partner);
        boolean removed = lane != null && lane.mWaiting.removeIf(waiting -> waiting.item() == item);
        if (removed) {
            mSize--;
        }
        return removed;
    }

    /**
     * Returns how many of a partner wait.
     *
     * @param partner the partner
     * @return the count
     */
    public int waiting(PartnerId partner) {
        Lane<T> lane = mLanes.get(partner);
        return lane == null ? 0 : lane.mWaiting.size();
    }

    /**
     * Returns how many wait in all.
     *
     * @return the count
     */
    public int size() {
        return mSize;
    }

    /**
     * Finds the lane to be served next.
     *
     * @return the lane, or empty where none waits
     */
    private Optional<Lane<T>> next() {
        return nextEntry().map(Map.Entry::getValue);
    }

    /**
     * Finds the partner to be served next: the one that was served least for its weight.
     *
     * @return the partner and its lane, or empty where none waits
     */
    private Optional<Map.Entry<PartnerId, Lane<T>>> nextEntry() {
        return mLanes.entrySet().stream()
                .filter(entry -> !entry.getValue().mWaiting.isEmpty())
                .min(
                        Comparator.<Map.Entry<PartnerId, Lane<T>>>comparingDouble(
                                        entry -> entry.getValue().mServed)
                                .thenComparing(Map.Entry::getKey));
    }

    /** The weight of each partner. */
    public interface Weights {

        /**
         * Returns a partner's weight.
         *
         * @param partner the partner
         * @return its weight, above 0
         */
        double of(PartnerId partner);
    }
}
