package org.troutpier.daemon.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.collection.AgingMap;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.node.Control;

/**
 * The upstreams that may get work. Changes are confined to the control thread; {@link #usable},
 * {@link #isLoaded()}, {@link #ageMillis()} and {@link #missingCount()} are thread safe. Invariant:
 * an entry that the platform lists as draining or no longer lists gets no work, except that an
 * entry which vanished in a time that nobody read is believed until {@link #GRACE_MILLIS} after the
 * reading went on: the store may have been away, and entries of live upstreams lapse then. Where
 * another router read all the time, the store was not away and a missing entry is gone at once. An
 * upstream that has announced itself that it leaves gets no work whatever its entry, until it
 * starts again.
 */
public final class UpstreamDirectory {

    /**
     * How long after the store's return an entry that vanished meanwhile is still believed,
     * milliseconds: the users say that entries of live servers are back within about two seconds.
     */
    static final long GRACE_MILLIS = 2000;

    /**
     * After which time without news of the store the end of the grace waits for its next return,
     * milliseconds: what is missing could not come back meanwhile.
     */
    private static final long STALE_MILLIS = 1000;

    /** How many upstreams are remembered that have announced that they leave. */
    private static final int MOST_LEAVING = 4096;

    /**
     * How long that is remembered, milliseconds: an upstream ends long before, and its entry may be
     * back until then.
     */
    private static final long LEAVING_MILLIS = 600_000;

    /** Logs each change. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamDirectory.class);

    /** Runs what is due later. */
    private final Control mControl;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** The entries by id. */
    private final Map<UpstreamId, UpstreamEntry> mEntries = new HashMap<>();

    /** The entries that vanished and are believed until the grace is over; read by any thread. */
    private final Set<UpstreamId> mVanished = ConcurrentHashMap.newKeySet();

    /** The entries whose latest word cannot be read. */
    private final Set<UpstreamId> mUnreadable = new HashSet<>();

    /**
     * The starts of upstreams that have announced that they leave, in answers or by their entries.
     */
    private final AgingMap<UpstreamId, UpstreamIncarnation> mLeaving =
            new AgingMap<>(MOST_LEAVING, LEAVING_MILLIS);

    /** The starts that were listed and are no longer. */
    private final AgingMap<UpstreamId, UpstreamIncarnation> mGone =
            new AgingMap<>(MOST_LEAVING, LEAVING_MILLIS);

    /** The starts that were gone before the store came back from a copy, which may list them. */
    private final Map<UpstreamId, UpstreamIncarnation> mGoneBefore = new HashMap<>();

    /** Whether this router's last call to the store was not answered. */
    private boolean mAway;

    /** Since when the entries have been known without a break, milliseconds; empty before that. */
    private OptionalLong mSince = OptionalLong.empty();

    /** Until when a vanished entry is believed, milliseconds. */
    private long mGraceUntil;

    /** The entries by service, for readers on any thread. */
    private volatile Map<String, List<UpstreamEntry>> mSnapshot = Map.of();

    /** The listed start of each upstream, for readers on any thread. */
    private volatile Map<UpstreamId, UpstreamIncarnation> mStarts = Map.of();

    /** Receives the upstreams that are listed. */
    private Consumer<Set<UpstreamIncarnation>> mListener = listed -> {};

    /** Whether the entries were read at least once. */
    private volatile boolean mLoaded;

    /** When the entries were last known to be those of the store, milliseconds. */
    private volatile long mKnownAt;

    /**
     * Creates an empty directory.
     *
     * @param control runs what is due later, on the control thread
     * @param millis the monotonic clock, milliseconds
     */
    public UpstreamDirectory(Control control, LongSupplier millis) {
        mControl = control;
        mMillis = millis;
        mKnownAt = mMillis.getAsLong();
        mGraceUntil = mMillis.getAsLong();
    }

    /**
     * Returns how long ago the entries were known to be those of the store.
     *
     * @return milliseconds; since the start where they have not been read
     */
    public long ageMillis() {
        return mMillis.getAsLong() - mKnownAt;
    }

    /**
     * Returns how many entries are missing and still believed.
     *
     * @return the count
     */
    public int missingCount() {
        return mVanished.size();
    }

    /**
     * Returns whether the entries were read at least once.
     *
     * @return whether the directory can be used
     */
    public boolean isLoaded() {
        return mLoaded;
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
     * Returns what is listed now of a start of an upstream.
     *
     * @param upstream the upstream as it was listed before
     * @return its entry; empty where it is listed no more or leaving
     */
    public Optional<UpstreamEntry> usable(UpstreamEntry upstream) {
        return usable(upstream.service()).stream()
                .filter(each -> each.incarnation().equals(upstream.incarnation()))
                .findFirst();
    }

    /**
     * Returns whether an upstream is known to have started again since one of its starts.
     *
     * @param incarnation the start
     * @return whether what that start held is lost
     */
    public boolean hasRestarted(UpstreamIncarnation incarnation) {
        UpstreamIncarnation now = mStarts.get(incarnation.id());
        return now != null && now.follows(incarnation);
    }

    /**
     * Sets who is told of the upstreams that are listed, whenever that changes.
     *
     * @param listener takes their starts, on the control thread
     */
    public void setListener(Consumer<Set<UpstreamIncarnation>> listener) {
        mListener = listener;
    }

    /** Records that the store did not answer this router. */
    public void onStoreUnavailable() {
        if (!mAway) {
            LOGGER.warn(
                    "directory store lost entries={} ageMillis={}", mEntries.size(), ageMillis());
        }
        mAway = true;
    }

    /**
     * Records that the entries are known to be the store's, before the changes that came with it.
     *
     * @param own whether the store answered this router, not only another that told it
     * @param since since when they have been known without a break, milliseconds on the monotonic
     *     clock
     */
    public void onConfirmed(boolean own, long since) {
        if (own && mAway) {
            mAway = false;
            LOGGER.info(
                    "directory store regained entries={} ageMillis={}",
                    mEntries.size(),
                    ageMillis());
        }
        if (mSince.isPresent() && mSince.getAsLong() != since) {
            mGraceUntil = since + GRACE_MILLIS;
            expireWhenDue();
        }
        mSince = OptionalLong.of(since);
        mKnownAt = mMillis.getAsLong();
        expire();
    }

    /**
     * Takes note that the next list is from a copy of the store that lacks what was written last.
     * An upstream that was gone before and is listed there gets no work until its entry changes,
     * which that of one that runs soon does.
     */
    public void onRestored() {
        mGoneBefore.clear();
        mGoneBefore.putAll(mGone.values(mMillis.getAsLong()));
    }

    /**
     * Returns whether an entry is void, since it was gone and a copy brought it back.
     *
     * @param listed the entry as a whole list has it
     * @return whether it is not to be taken
     */
    private boolean broughtBack(UpstreamEntry listed) {
        UpstreamIncarnation gone = mGoneBefore.get(listed.id());
        return gone != null && listed.incarnation().mayBe(gone);
    }

    /**
     * Takes the whole list, all of whose entries can be read.
     *
     * @param listed all entries that the platform lists
     */
    public void replaceAll(Collection<UpstreamEntry> listed) {
        replaceAll(listed, Set.of());
    }

    /**
     * Takes the whole list.
     *
     * @param listed all entries that the platform lists and that can be read
     * @param unreadable the upstreams that it lists by a word that cannot be read
     */
    public void replaceAll(Collection<UpstreamEntry> listed, Set<UpstreamId> unreadable) {
        Map<UpstreamId, UpstreamEntry> next =
                listed.stream()
                        .filter(entry -> !broughtBack(entry))
                        .collect(Collectors.toMap(UpstreamEntry::id, entry -> entry));
        for (UpstreamId known : List.copyOf(mEntries.keySet())) {
            if (unreadable.contains(known)) {
                markUnreadable(known);
            } else if (!next.containsKey(known)) {
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
    public void update(UpstreamId id, Optional<UpstreamEntry> entry) {
        mGoneBefore.remove(id);
        boolean news = entry.isPresent() ? put(entry.get()) : remove(id);
        if (news) {
            publish();
        }
    }

    /**
     * Takes note that an upstream has announced itself that it leaves. Its entry may follow later,
     * or state the contrary for as long as the store is away.
     *
     * @param start the start that leaves, whether it is listed or not
     * @return whether that was not known
     */
    public boolean markLeaving(UpstreamIncarnation start) {
        boolean news =
                mLeaving.get(start.id(), mMillis.getAsLong()).filter(start::equals).isEmpty();
        mLeaving.put(start.id(), start, mMillis.getAsLong());
        UpstreamEntry entry = mEntries.get(start.id());
        if (entry != null && !entry.draining() && entry.incarnation().mayBe(start)) {
            LOGGER.info("upstream leaves id={}", start);
            mEntries.put(start.id(), entry.leaving());
            publish();
        }
        return news;
    }

    /**
     * Returns an entry as it holds with what its upstream has announced itself.
     *
     * @param entry the entry as it is listed
     * @return an entry that gets no work where the same start has announced that it leaves
     */
    private UpstreamEntry heeding(UpstreamEntry entry) {
        boolean leaving =
                mLeaving.get(entry.id(), mMillis.getAsLong())
                        .filter(entry.incarnation()::mayBe)
                        .isPresent();
        return leaving && !entry.draining() ? entry.leaving() : entry;
    }

    /**
     * Takes note that the latest word of an upstream cannot be read, so that nobody knows whether
     * it takes work: it gets none until it is listed again. Of its entry only the start is still
     * believed, so that a word of an earlier one is not taken for news.
     *
     * @param id the upstream
     */
    public void markUnreadable(UpstreamId id) {
        if (mEntries.containsKey(id) && mUnreadable.add(id)) {
            LOGGER.warn("upstream withheld id={}, its entry cannot be read", id);
            publish();
        }
    }

    /**
     * Stores an entry.
     *
     * @param told the entry as it is told
     * @return whether it says something new
     */
    private boolean put(UpstreamEntry told) {
        mVanished.remove(told.id());
        mGone.remove(told.id());
        UpstreamEntry before = mEntries.get(told.id());
        UpstreamEntry entry = heeding(before == null ? told : before.after(told));
        mEntries.put(entry.id(), entry);
        if (entry.draining()) {
            mLeaving.put(entry.id(), entry.incarnation(), mMillis.getAsLong());
        }
        boolean news = mUnreadable.remove(entry.id()) || !entry.equals(before);
        if (news) {
            LOGGER.info(
                    "upstream listed id={} service={} address={} role={} draining={}",
                    entry.incarnation(),
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
     * @return whether it is gone now
     */
    private boolean remove(UpstreamId id) {
        UpstreamEntry entry = mEntries.get(id);
        if (entry == null || mVanished.contains(id)) {
            return false;
        }
        long believed = mGraceUntil - mMillis.getAsLong();
        if (believed > 0 && !entry.draining() && !mUnreadable.contains(id)) {
            LOGGER.info("upstream missing id={} believedMillis={}", id, believed);
            mVanished.add(id);
            expireWhenDue();
            return false;
        }
        forget(id);
        LOGGER.info("upstream gone id={}", id);
        return true;
    }

    /**
     * Forgets an entry, and remembers that its upstream is gone.
     *
     * @param id the upstream
     */
    private void forget(UpstreamId id) {
        UpstreamEntry entry = mEntries.remove(id);
        mUnreadable.remove(id);
        if (entry != null) {
            mGone.put(id, entry.incarnation(), mMillis.getAsLong());
        }
    }

    /** Plans the end of the grace, if there are vanished entries. */
    private void expireWhenDue() {
        if (!mVanished.isEmpty()) {
            mControl.later(this::expire, Math.max(0, mGraceUntil - mMillis.getAsLong()));
        }
    }

    /**
     * Removes vanished entries once the grace is over. The clock ends it: waiting for the next page
     * with news, it ended up to 1.2 s late (60 ends, median 0.13 s).
     */
    private void expire() {
        long overdue = mMillis.getAsLong() - mGraceUntil;
        boolean couldNotReturn = mAway && ageMillis() > STALE_MILLIS;
        if (mVanished.isEmpty() || overdue < 0 || couldNotReturn) {
            return;
        }
        for (UpstreamId vanished : mVanished) {
            forget(vanished);
            LOGGER.info(
                    "upstream gone after the store's return id={} overdueMillis={}",
                    vanished,
                    overdue);
        }
        mVanished.clear();
        publish();
    }

    /** Publishes what may get work. */
    private void publish() {
        List<UpstreamEntry> usable = new ArrayList<>(mEntries.values());
        usable.removeIf(entry -> entry.draining() || mUnreadable.contains(entry.id()));
        mSnapshot =
                usable.stream()
                        .collect(
                                Collectors.groupingBy(
                                        UpstreamEntry::service, Collectors.toUnmodifiableList()));
        mStarts =
                mEntries.values().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        UpstreamEntry::id, UpstreamEntry::incarnation));
        mListener.accept(Set.copyOf(mStarts.values()));
    }
}
