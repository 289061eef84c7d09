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
    private final Map<PartnerId, Flow<T>> mFlows = new HashMap<>();

    /** The virtual time of the partner served last. */
    private double mVirtualTime;

    /** Breaks ties between equal deadlines by arrival. */
    private long mNextSequence;

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
    private record Entry<T>(T item, long deadline, long sequence, double cost) {}

    /**
     * One partner's queue.
     *
     * @param <T> what waits
     */
    private static final class Flow<T> {

        /** What waits, earliest deadline first. */
        private final PriorityQueue<Entry<T>> mEntries =
                new PriorityQueue<>(
                        Comparator.<Entry<T>>comparingLong(Entry::deadline)
                                .thenComparingLong(Entry::sequence));

        /** How much the partner has been served, divided by its weight. */
        private double mNormalizedService;
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
        Flow<T> flow = mFlows.computeIfAbsent(partner, id -> new Flow<>());
        if (flow.mEntries.isEmpty()) {
            flow.mNormalizedService = Math.max(flow.mNormalizedService, mVirtualTime);
        }
        flow.mEntries.add(new Entry<>(item, deadline, mNextSequence++, cost));
        mSize++;
    }

    /**
     * Returns the next to be served without taking it.
     *
     * @return the next, or empty where none waits
     */
    public Optional<T> peek() {
        return nextFlow().map(flow -> flow.mEntries.peek().item());
    }

    /**
     * Charges a partner for one that was served, also one that did not wait.
     *
     * @param partner the partner
     * @param cost how much of its share was taken
     * @param weight the weight of each partner
     */
    public void charge(PartnerId partner, double cost, Weights weights) {
        Flow<T> flow = mFlows.computeIfAbsent(partner, id -> new Flow<>());
        mVirtualTime = Math.max(mVirtualTime, flow.mNormalizedService);
        flow.mNormalizedService += cost / weights.weight(partner);
    }

    /**
     * Takes the next to be served and charges its partner.
     *
     * @param weight the weight of each partner
     * @return the next, or empty where none waits
     */
    public Optional<T> poll(Weights weights) {
        Optional<Map.Entry<PartnerId, Flow<T>>> next = nextEntry();
        if (next.isEmpty()) {
            return Optional.empty();
        }
        Entry<T> first = next.get().getValue().mEntries.poll();
        mSize--;
        charge(next.get().getKey(), first.cost(), weights);
        return Optional.of(first.item());
    }

    /**
     * Takes out all that wait, in the order in which they would be served, without charging anyone:
     * those that find no room are added again.
     *
     * @param weight the weight of each partner
     * @return all that waited
     */
    public List<T> drain(Weights weights) {
        List<T> order = new ArrayList<>();
        Map<PartnerId, Double> normalizedService = new HashMap<>();
        mFlows.forEach((partner, flow) -> normalizedService.put(partner, flow.mNormalizedService));
        double virtualTime = mVirtualTime;
        for (Optional<T> next = poll(weights); next.isPresent(); next = poll(weights)) {
            order.add(next.get());
        }
        mVirtualTime = virtualTime;
        normalizedService.forEach(
                (partner, service) -> mFlows.get(partner).mNormalizedService = service);
        return order;
    }

    /**
     * Shows all that wait, in no order.
     *
     * @param viewer is shown each
     */
    public void forEach(Consumer<T> action) {
        mFlows.values()
                .forEach(flow -> flow.mEntries.forEach(entry -> action.accept(entry.item())));
    }

    /**
     * Takes out one that no longer waits.
     *
     * @param partner whose it is
     * @param item what waited
     * @return whether it was there
     */
    public boolean remove(PartnerId partner, T item) {
        Flow<T> flow = mFlows.get(partner);
        boolean removed = flow != null && flow.mEntries.removeIf(entry -> entry.item() == item);
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
    public int size(PartnerId partner) {
        Flow<T> flow = mFlows.get(partner);
        return flow == null ? 0 : flow.mEntries.size();
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
    private Optional<Flow<T>> nextFlow() {
        return nextEntry().map(Map.Entry::getValue);
    }

    /**
     * Finds the partner to be served next: the one that was served least for its weight.
     *
     * @return the partner and its lane, or empty where none waits
     */
    private Optional<Map.Entry<PartnerId, Flow<T>>> nextEntry() {
        return mFlows.entrySet().stream()
                .filter(entry -> !entry.getValue().mEntries.isEmpty())
                .min(
                        Comparator.<Map.Entry<PartnerId, Flow<T>>>comparingDouble(
                                        entry -> entry.getValue().mNormalizedService)
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
        double weight(PartnerId partner);
    }
}
