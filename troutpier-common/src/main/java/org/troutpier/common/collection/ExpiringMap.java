package org.troutpier.common.collection;

import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A map with a maximum size whose entries expire after a time, the oldest first. Not thread safe.
 * Invariant: size and age are bounded; age counts from an entry's last change.
 *
 * @param <K> the keys' type
 * @param <V> the values' type
 */
public final class ExpiringMap<K, V> {

    private final int mMaxSize;

    /** How long an entry is kept, milliseconds. */
    private final long mRetentionMillis;

    /** The entries in the order of their last changes. */
    private final Map<K, TimedValue<V>> mEntries = new LinkedHashMap<>();

    /**
     * A value and its age.
     *
     * @param value the value
     * @param at when it was set, milliseconds
     * @param <V> the value's type
     */
    private record TimedValue<V>(V value, long at) {}

    /**
     * Creates an empty map.
     *
     * @param maxSize how many entries are kept
     * @param retentionMillis how long an entry is kept, milliseconds
     */
    public ExpiringMap(int maxSize, long retentionMillis) {
        mMaxSize = maxSize;
        mRetentionMillis = retentionMillis;
    }

    /**
     * Sets an entry, and evicts expired and excess entries.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void put(K key, V value, long now) {
        mEntries.remove(key);
        mEntries.put(key, new TimedValue<>(value, now));
        evict(now);
    }

    /**
     * Returns an entry's value.
     *
     * @param now the monotonic clock, milliseconds
     * @return the value, if it is present and has not expired
     */
    public Optional<V> get(K key, long now) {
        TimedValue<V> timed = mEntries.get(key);
        return timed == null || isExpired(timed, now)
                ? Optional.empty()
                : Optional.of(timed.value());
    }

    /**
     * Returns whether there is an entry.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether it is present and has not expired
     */
    public boolean contains(K key, long now) {
        return get(key, now).isPresent();
    }

    /** Removes an entry. */
    public void remove(K key) {
        mEntries.remove(key);
    }

    /**
     * Evicts expired entries and returns the number of the others.
     *
     * @param now the monotonic clock, milliseconds
     */
    public int size(long now) {
        evict(now);
        return mEntries.size();
    }

    /**
     * Evicts expired entries and returns whether the map is empty.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether it is empty
     */
    public boolean isEmpty(long now) {
        evict(now);
        return mEntries.isEmpty();
    }

    /**
     * Evicts expired entries and returns the others.
     *
     * @param now the monotonic clock, milliseconds
     * @return a copy by key, the oldest first
     */
    public Map<K, V> values(long now) {
        evict(now);
        Map<K, V> values = new LinkedHashMap<>();
        mEntries.forEach((key, timed) -> values.put(key, timed.value()));
        return Collections.unmodifiableMap(values);
    }

    /**
     * Evicts expired and excess entries.
     *
     * @param now the monotonic clock, milliseconds
     */
    private void evict(long now) {
        Iterator<TimedValue<V>> oldest = mEntries.values().iterator();
        while (oldest.hasNext()) {
            if (!isExpired(oldest.next(), now) && mEntries.size() <= mMaxSize) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Returns whether a value has expired.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether it is
     */
    private boolean isExpired(TimedValue<V> timed, long now) {
        return now - timed.at() > mRetentionMillis;
    }
}
