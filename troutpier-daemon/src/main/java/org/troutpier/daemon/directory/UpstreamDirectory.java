package org.troutpier.daemon.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamId;

/**
 * The upstreams that may get work. Changes are confined to the control thread; {@link #snapshot()},
 * {@link #usable}, {@link #loaded()} and {@link #storeIsHeard()} are thread safe. Invariant: an
 * entry that the platform lists as draining or no longer lists gets no work, except that an entry
 * which vanished while the store was away is believed until {@link #GRACE_MILLIS} after the store's
 * return.
 */
public final class UpstreamDirectory {

    /**
     * How long after the store's return an entry that vanished meanwhile is still believed,
     * milliseconds: the users say that entries of live servers are back within about two seconds.
     */
    static final long GRACE_MILLIS = 2000;

    /** Logs each change. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamDirectory.class);

    /** How many nanoseconds a millisecond has. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The entries by id. */
    private final Map<UpstreamId, UpstreamEntry> mEntries = new HashMap<>();

    /** When entries that vanished in an outage stop being believed, on the monotonic clock. */
    private final Map<UpstreamId, Long> mVanished = new HashMap<>();

    /** The monotonic clock, nanoseconds. */
    private final LongSupplier mNanos;

    /** Whether the store is away. */
    private volatile boolean mAway;

    /** Until when a vanished entry is believed, on the monotonic clock; 0 for never. */
    private long mGraceUntil;

    /** The entries by service, for readers on any thread. */
    private volatile Map<String, List<UpstreamEntry>> mSnapshot = Map.of();

    /** Receives the upstreams that are listed. */
    private Consumer<Set<UpstreamId>> mListener = listed -> {};

    /** Whether the entries were read at least once. */
    private volatile boolean mLoaded;

    /** When the entries were last known to be those of the store, on the monotonic clock. */
    private volatile long mHeardAt;

    /** How many entries are missing and still believed, for readers on any thread. */
    private volatile int mMissing;

    /**
     * Creates an empty directory.
     *
     * @param nanos the monotonic clock, nanoseconds
     */
    public UpstreamDirectory(LongSupplier nanos) {
        mNanos = nanos;
        mHeardAt = nanos.getAsLong();
    }

    /**
     * Returns how long ago the entries were known to be those of the store.
     *
     * @return milliseconds; since the start where they have not been read
     */
    public long ageMillis() {
        return (mNanos.getAsLong() - mHeardAt) / NANOS_PER_MILLI;
    }

    /**
     * Returns how many entries are missing and still believed.
     *
     * @return the count
     */
    public int missing() {
        return mMissing;
    }

    /**
     * Returns whether the entries were read at least once.
     *
     * @return whether the directory can be used
     */
    public boolean loaded() {
        return mLoaded;
    }

    /**
     * Returns whether the store was read when it was last asked.
     *
     * @return whether it was
     */
    public boolean storeIsHeard() {
        return !mAway;
    }

    /**
     * Returns the upstreams of a service that may get work.
     *
     * @param service the service's name
     * @return the entries
     */
    public List<UpstreamEntry> usable(String service) {
        return mSnapshot.getOrDefault(service, List.of());
    }

    /**
     * Returns the upstreams of all services that may get work.
     *
     * @param role what they do
     * @return the entries
     */
    public List<UpstreamEntry> usable(UpstreamEntry.Role role) {
        return mSnapshot.values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.role() == role)
                .toList();
    }

    /**
     * Sets who is told of the upstreams that are listed, whenever that changes.
     *
     * @param listener takes their ids, on the control thread
     */
    public void onChanged(Consumer<Set<UpstreamId>> listener) {
        mListener = listener;
    }

    /** Records that the store cannot be read. */
    public void storeLost() {
        if (!mAway) {
            LOGGER.warn(
                    "directory store lost entries={} ageMillis={}", mEntries.size(), ageMillis());
        }
        mAway = true;
    }

    /** Records that the store was read. */
    public void storeHeard() {
        if (mAway) {
            mAway = false;
            mGraceUntil = mNanos.getAsLong() + GRACE_MILLIS * NANOS_PER_MILLI;
            LOGGER.info(
                    "directory store regained entries={} ageMillis={}",
                    mEntries.size(),
                    ageMillis());
        }
        mHeardAt = mNanos.getAsLong();
        expire();
    }

    /**
     * Takes the whole list.
     *
     * @param listed all entries that the platform lists
     */
    public void replaceAll(Collection<UpstreamEntry> listed) {
        Map<UpstreamId, UpstreamEntry> next =
                listed.stream().collect(Collectors.toMap(UpstreamEntry::id, entry -> entry));
        for (UpstreamId known : List.copyOf(mEntries.keySet())) {
            if (!next.containsKey(known)) {
                remove(known);
            }
        }
        next.values().forEach(this::put);
        mLoaded = true;
        publish();
    }

    /**
     * Takes one changed entry.
     *
     * @param id the entry's id
     * @param entry the entry, or empty where it was deleted
     */
    public void change(UpstreamId id, Optional<UpstreamEntry> entry) {
        boolean news = entry.isPresent() ? put(entry.get()) : remove(id);
        if (news) {
            publish();
        }
    }

    /**
     * Stores an entry.
     *
     * @param entry the entry
     * @return whether it says something new
     */
    private boolean put(UpstreamEntry entry) {
        mVanished.remove(entry.id());
        mMissing = mVanished.size();
        UpstreamEntry before = mEntries.put(entry.id(), entry);
        boolean news = !entry.equals(before);
        if (news) {
            LOGGER.info(
                    "upstream listed id={} service={} address={} role={} draining={}",
                    entry.id(),
                    entry.service(),
                    entry.address(),
                    entry.role(),
                    entry.draining());
        }
        return news;
    }

    /**
     * Removes an entry, or lets it lapse later where it may have vanished by mistake.
     *
     * @param id the entry's id
     * @return whether it was there
     */
    private boolean remove(UpstreamId id) {
        if (!mEntries.containsKey(id)) {
            return false;
        }
        boolean doubtful = mAway || mGraceUntil != 0 && mNanos.getAsLong() - mGraceUntil < 0;
        if (doubtful && !mEntries.get(id).draining()) {
            if (mVanished.putIfAbsent(id, mGraceUntil) == null) {
                LOGGER.info("upstream missing id={} believedMillis={}", id, leftMillis());
                mMissing = mVanished.size();
            }
            return true;
        }
        mEntries.remove(id);
        LOGGER.info("upstream gone id={}", id);
        return true;
    }

    /** Removes vanished entries whose grace is over. */
    private void expire() {
        boolean changed = false;
        for (Iterator<Map.Entry<UpstreamId, Long>> each = mVanished.entrySet().iterator();
                each.hasNext(); ) {
            Map.Entry<UpstreamId, Long> vanished = each.next();
            if (mNanos.getAsLong() - vanished.getValue() >= 0) {
                each.remove();
                mEntries.remove(vanished.getKey());
                LOGGER.info(
                        "upstream gone after the store's return id={} overdueMillis={}",
                        vanished.getKey(),
                        -leftMillis());
                changed = true;
            }
        }
        if (changed) {
            mMissing = mVanished.size();
            publish();
        }
    }

    /**
     * Returns how much longer vanished entries are believed.
     *
     * @return milliseconds; negative once that is over
     */
    private long leftMillis() {
        return (mGraceUntil - mNanos.getAsLong()) / NANOS_PER_MILLI;
    }

    /** Publishes what may get work. */
    private void publish() {
        List<UpstreamEntry> usable = new ArrayList<>(mEntries.values());
        usable.removeIf(UpstreamEntry::draining);
        mSnapshot =
                usable.stream()
                        .collect(
                                Collectors.groupingBy(
                                        UpstreamEntry::service, Collectors.toUnmodifiableList()));
        mListener.accept(Set.copyOf(mEntries.keySet()));
    }
}
