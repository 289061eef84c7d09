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
 * Queue with weighted fair sharing between partners and earliest deadline first within a partner.
 * Pure decision logic, confined to one thread. Invariant: while two partners both have entries
 * waiting, each is served in proportion to its weight, regardless of the length of the other's
 * queue.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {

    private final Map<PartnerId, Flow<T>> mFlows = new HashMap<>();

    /** Normalized service of the partner served last, at the time it was served. */
    private double mVirtualTime;

    /** Next sequence number; entries with equal deadlines are served in order of arrival. */
    private long mNextSequence;

    private int mSize;

    /**
     * A waiting item.
     *
     * @param item the item
     * @param deadline sort key within the partner; lower is served first
     * @param sequence order of arrival, for equal deadlines
     * @param cost share of the partner's service that the item uses
     * @param <T> type of the queued items
     */
    private record Entry<T>(T item, long deadline, long sequence, double cost) {}

    /**
     * Queue of one partner.
     *
     * @param <T> type of the queued items
     */
    private static final class Flow<T> {

        /** Entries, earliest deadline first. */
        private final PriorityQueue<Entry<T>> mEntries =
                new PriorityQueue<>(
                        Comparator.<Entry<T>>comparingLong(Entry::deadline)
                                .thenComparingLong(Entry::sequence));

        /** Cost of all items served, each divided by the weight of the partner. */
        private double mNormalizedService;
    }

    /**
     * Adds an item. A partner that had none waiting is advanced to the current virtual time, so
     * that it gains no credit while idle.
     *
     * @param partner the partner
     * @param item the item
     * @param deadline sort key within the partner; lower is served first
     * @param cost share of the partner's service that the item uses
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
     * Returns the next item without removing it.
     *
     * @return the next item, or empty if the queue is empty
     */
    public Optional<T> peek() {
        return nextFlow().map(flow -> flow.mEntries.peek().item());
    }

    /**
     * Charges a partner for an item that was served, whether or not it was queued.
     *
     * @param partner the partner
     * @param cost share of the partner's service that the item used
     * @param weights weights of the partners
     */
    public void charge(PartnerId partner, double cost, Weights weights) {
        Flow<T> flow = mFlows.computeIfAbsent(partner, id -> new Flow<>());
        mVirtualTime = Math.max(mVirtualTime, flow.mNormalizedService);
        flow.mNormalizedService += cost / weights.weight(partner);
    }

    /**
     * Removes the next item and charges its partner.
     *
     * @param weights weights of the partners
     * @return the next item, or empty if the queue is empty
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
     * Removes all items, in the order in which they would be served, without charging any partner.
     * Items that cannot be served are added again by the caller.
     *
     * @param weights weights of the partners
     * @return all items
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

    /** Calls an action for all items, in no particular order. */
    public void forEach(Consumer<T> action) {
        mFlows.values()
                .forEach(flow -> flow.mEntries.forEach(entry -> action.accept(entry.item())));
    }

    /**
     * Removes an item.
     *
     * @return whether it was in the queue
     */
    public boolean remove(PartnerId partner, T item) {
        Flow<T> flow = mFlows.get(partner);
        boolean removed = flow != null && flow.mEntries.removeIf(entry -> entry.item() == item);
        if (removed) {
            mSize--;
        }
        return removed;
    }

    /** Returns the number of items of a partner. */
    public int size(PartnerId partner) {
        Flow<T> flow = mFlows.get(partner);
        return flow == null ? 0 : flow.mEntries.size();
    }

    /** Returns the number of items of all partners. */
    public int size() {
        return mSize;
    }

    private Optional<Flow<T>> nextFlow() {
        return nextEntry().map(Map.Entry::getValue);
    }

    /** Returns the partner with the least normalized service among those with waiting items. */
    private Optional<Map.Entry<PartnerId, Flow<T>>> nextEntry() {
        return mFlows.entrySet().stream()
                .filter(entry -> !entry.getValue().mEntries.isEmpty())
                .min(
                        Comparator.<Map.Entry<PartnerId, Flow<T>>>comparingDouble(
                                        entry -> entry.getValue().mNormalizedService)
                                .thenComparing(Map.Entry::getKey));
    }

    /** Weights of the partners. */
    public interface Weights {

        /** Returns the weight of a partner, greater than 0. */
        double weight(PartnerId partner);
    }
}
