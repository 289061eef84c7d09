package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;

/**
 * The calls to plain services that arrived at one or several routers in the last {@link
 * #WINDOW_MILLIS}. Immutable and thread safe. Invariant: there are at most {@link #MAX_ENTRIES}
 * entries, so that the size of reports does not grow with the number of routers and organisations.
 *
 * @param entries the calls by service, urgency and organisation
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RecentArrivals(List<Entry> entries) {

    /** The window in which calls are counted, milliseconds. */
    public static final long WINDOW_MILLIS = 1000;

    /** The largest number of entries. */
    public static final int MAX_ENTRIES = 32;

    /** No call. */
    public static final RecentArrivals NONE = new RecentArrivals(List.of());

    /** Entries that keep their organisation where there are more than {@link #MAX_ENTRIES}. */
    private static final int LARGEST_ENTRIES = MAX_ENTRIES / 2;

    /**
     * Calls of one service and flow. Immutable and thread safe.
     *
     * @param service the service
     * @param rank the urgency; 0 is the most urgent
     * @param organisation the organisation; {@link FlowKey#NO_ORGANISATION} for several
     * @param calls the number of calls in the window
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(String service, int rank, PartnerId organisation, double calls) {

        private Entry withoutOrganisation() {
            return new Entry(service, rank, FlowKey.NO_ORGANISATION, calls);
        }

        private Key key() {
            return new Key(service, rank, organisation);
        }

        private Entry plus(Entry other) {
            return new Entry(service, rank, organisation, calls + other.calls);
        }
    }

    /**
     * What entries are added by. Immutable and thread safe.
     *
     * @param service the service
     * @param rank the urgency
     * @param organisation the organisation
     */
    private record Key(String service, int rank, PartnerId organisation) {}

    /** Copies the entries; null is replaced by an empty list. */
    public RecentArrivals {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }

    /** Returns the sum of entries. */
    public static RecentArrivals of(Iterable<Entry> entries) {
        Map<Key, Entry> sums = new HashMap<>();
        entries.forEach(entry -> sums.merge(entry.key(), entry, Entry::plus));
        return sums.isEmpty() ? NONE : new RecentArrivals(bounded(sums.values()));
    }

    /** Returns the sum of this and others. */
    public RecentArrivals plus(Iterable<RecentArrivals> others) {
        List<Entry> all = new ArrayList<>(entries);
        others.forEach(other -> all.addAll(other.entries));
        return of(all);
    }

    /**
     * Returns at most {@link #MAX_ENTRIES} entries: the largest ones, and the sums of the others
     * over all organisations.
     */
    private static List<Entry> bounded(Collection<Entry> entries) {
        if (entries.size() <= MAX_ENTRIES) {
            return List.copyOf(entries);
        }
        List<Entry> byCalls = new ArrayList<>(entries);
        byCalls.sort(Comparator.comparingDouble(Entry::calls).reversed());
        Map<Key, Entry> bounded = new HashMap<>();
        byCalls.subList(0, LARGEST_ENTRIES).forEach(entry -> bounded.put(entry.key(), entry));
        for (Entry entry : byCalls.subList(LARGEST_ENTRIES, byCalls.size())) {
            Entry anonymous = entry.withoutOrganisation();
            if (bounded.size() < MAX_ENTRIES || bounded.containsKey(anonymous.key())) {
                bounded.merge(anonymous.key(), anonymous, Entry::plus);
            }
        }
        return List.copyOf(bounded.values());
    }
}
