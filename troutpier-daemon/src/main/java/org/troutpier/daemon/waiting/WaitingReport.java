package org.troutpier.daemon.waiting;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.FlowKey;

/**
 * The waiting requests that one or several routers report to the others. Immutable and thread safe.
 * Invariants: a sum or a report of requests has at most {@link #MAX_ENTRIES} entries and {@link
 * #MAX_ORGANISATIONS} organisations, so that the size of reports does not grow with the number of
 * requests; entries older than {@link #MAX_AGE_MILLIS} are dropped.
 *
 * @param entries the waiting requests
 * @param granted what each organisation was granted in the last {@link
 *     RecentTraffic#GRANT_WINDOW_MILLIS}, tokens
 * @param returning what refused requests need whose return time is still to come, tokens
 * @param traffic what arrived and was granted recently, for each service and urgency
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WaitingReport(
        List<Entry> entries,
        Map<PartnerId, Double> granted,
        double returning,
        List<ClassTraffic> traffic) {

    /** The largest number of entries in a sum. */
    public static final int MAX_ENTRIES = 32;

    /** The largest number of organisations in a sum; those that were granted least are left out. */
    public static final int MAX_ORGANISATIONS = 64;

    /**
     * Age from which entries are dropped, milliseconds: callers with the shortest target wait for
     * about twice as long, so an older entry describes requests that have mostly ended.
     */
    public static final long MAX_AGE_MILLIS = 300;

    /** Span of latest starts that share an entry, milliseconds. */
    private static final long SPAN_MILLIS = 200;

    /** Entries that keep their organisation where there are more than {@link #MAX_ENTRIES}. */
    private static final int LARGEST_ENTRIES = MAX_ENTRIES / 2;

    /** No waiting request. */
    public static final WaitingReport NONE = new WaitingReport(List.of(), Map.of(), 0, List.of());

    /** Copies the collections; null is replaced by an empty one. */
    public WaitingReport {
        entries = entries == null ? List.of() : List.copyOf(entries);
        granted = granted == null ? Map.of() : Map.copyOf(granted);
        traffic = traffic == null ? List.of() : List.copyOf(traffic);
    }

    /** Creates a report without recent traffic. */
    public WaitingReport(List<Entry> entries, Map<PartnerId, Double> granted, double returning) {
        this(entries, granted, returning, List.of());
    }

    /**
     * Requests of one service, tier, urgency and organisation that wait and have to start within a
     * short span of each other. Immutable and thread safe.
     *
     * @param service the service
     * @param tier the queue tier
     * @param rank the urgency; 0 is the most urgent
     * @param organisation the organisation; {@link FlowKey#NO_ORGANISATION} for several
     * @param cost the capacity that they wait for: tokens of memory, or calls
     * @param latestStartMillis the time from now until the first of them has to start to meet its
     *     target, milliseconds; negative if it is late
     * @param largest the cost of the largest of them
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(
            String service,
            QueueTier tier,
            int rank,
            PartnerId organisation,
            double cost,
            long latestStartMillis,
            double largest) {

        /** Creates an entry of one request. */
        public Entry(
                String service,
                QueueTier tier,
                int rank,
                PartnerId organisation,
                double cost,
                long latestStartMillis) {
            this(service, tier, rank, organisation, cost, latestStartMillis, cost);
        }

        static Entry of(WaitingRequest request, long now) {
            Claim claim = request.claim();
            return new Entry(
                    request.service(),
                    claim.tier(),
                    claim.flow().rank(),
                    claim.flow().organisation(),
                    claim.cost(),
                    claim.latestStartMillis() - now);
        }

        private Entry plus(Entry other) {
            return new Entry(
                    service,
                    tier,
                    rank,
                    organisation,
                    cost + other.cost,
                    Math.min(latestStartMillis, other.latestStartMillis),
                    Math.max(largest, other.largest));
        }

        private Entry aged(long millis) {
            return new Entry(
                    service, tier, rank, organisation, cost, latestStartMillis - millis, largest);
        }

        private Entry withoutOrganisation() {
            return new Entry(
                    service, tier, rank, FlowKey.NO_ORGANISATION, cost, latestStartMillis, largest);
        }
    }

    /**
     * What entries are added by. Immutable and thread safe.
     *
     * @param service the service
     * @param tier the queue tier
     * @param rank the urgency
     * @param organisation the organisation
     * @param span the number of the span that holds the latest start
     */
    private record Key(
            String service, QueueTier tier, int rank, PartnerId organisation, long span) {

        private static Key of(Entry entry) {
            return new Key(
                    entry.service(),
                    entry.tier(),
                    entry.rank(),
                    entry.organisation(),
                    Math.floorDiv(entry.latestStartMillis(), SPAN_MILLIS));
        }

        private static Key withoutSpan(Entry entry) {
            return new Key(entry.service(), entry.tier(), entry.rank(), entry.organisation(), 0);
        }
    }

    /**
     * Returns the entries of waiting requests.
     *
     * @param now the clock of their claims, milliseconds
     */
    public static List<Entry> entriesOf(Collection<WaitingRequest> requests, long now) {
        if (requests.isEmpty()) {
            return List.of();
        }
        Map<Key, Entry> sums = new HashMap<>();
        for (WaitingRequest request : requests) {
            add(sums, Entry.of(request, now));
        }
        return bounded(sums.values());
    }

    /**
     * Returns this report with more that is to return.
     *
     * @param tokens what refused requests need whose return time is still to come, tokens
     */
    public WaitingReport plusReturning(double tokens) {
        return tokens == 0 ? this : plus(List.of(new WaitingReport(List.of(), Map.of(), tokens)));
    }

    /** Returns the sum of this report and others. */
    public WaitingReport plus(Iterable<WaitingReport> others) {
        List<WaitingReport> filled = new ArrayList<>();
        for (WaitingReport other : others) {
            if (!other.isEmpty()) {
                filled.add(other);
            }
        }
        if (filled.isEmpty()) {
            return this;
        }
        if (!isEmpty()) {
            filled.add(this);
        }
        Map<Key, Entry> allEntries = new HashMap<>();
        Map<PartnerId, Double> allGranted = new HashMap<>();
        List<ClassTraffic> allTraffic = new ArrayList<>();
        double allReturning = 0;
        for (WaitingReport report : filled) {
            allReturning += report.returning;
            report.entries.forEach(entry -> add(allEntries, entry));
            report.granted.forEach((id, tokens) -> allGranted.merge(id, tokens, Double::sum));
            report.traffic.forEach(each -> add(allTraffic, each));
        }
        return new WaitingReport(
                bounded(allEntries.values()), mostGranted(allGranted), allReturning, allTraffic);
    }

    /**
     * Returns this report as of a later time.
     *
     * @param millis the time that has passed, milliseconds
     */
    public WaitingReport aged(long millis) {
        if (entries.isEmpty() || millis == 0) {
            return this;
        }
        List<Entry> agedEntries = new ArrayList<>();
        if (millis <= MAX_AGE_MILLIS) {
            for (Entry entry : entries) {
                agedEntries.add(entry.aged(millis));
            }
        }
        return new WaitingReport(agedEntries, granted, returning, traffic);
    }

    /** Returns the capacity for which the requests of the entries wait. */
    public double cost() {
        double sum = 0;
        for (Entry entry : entries) {
            sum += entry.cost();
        }
        return sum;
    }

    /** Returns whether the report is empty. */
    private boolean isEmpty() {
        return entries.isEmpty() && granted.isEmpty() && traffic.isEmpty() && returning == 0;
    }

    private static void add(Map<Key, Entry> sums, Entry entry) {
        sums.merge(Key.of(entry), entry, Entry::plus);
    }

    private static void add(List<ClassTraffic> sums, ClassTraffic more) {
        for (int index = 0; index < sums.size(); index++) {
            if (sums.get(index).hasSameClass(more)) {
                sums.set(index, sums.get(index).plus(more));
                return;
            }
        }
        sums.add(more);
    }

    /**
     * Returns at most {@link #MAX_ENTRIES} entries: the largest ones, and the sums of the others
     * over all organisations.
     */
    private static List<Entry> bounded(Collection<Entry> entries) {
        if (entries.size() <= MAX_ENTRIES) {
            return List.copyOf(entries);
        }
        List<Entry> byCost = new ArrayList<>(entries);
        byCost.sort(Comparator.comparingDouble(Entry::cost).reversed());
        List<Entry> kept = new ArrayList<>(byCost.subList(0, LARGEST_ENTRIES));
        Map<Key, Entry> rest = new HashMap<>();
        for (Entry entry : byCost.subList(LARGEST_ENTRIES, byCost.size())) {
            Entry anonymous = entry.withoutOrganisation();
            rest.merge(Key.withoutSpan(anonymous), anonymous, Entry::plus);
        }
        for (Entry entry : rest.values()) {
            if (kept.size() < MAX_ENTRIES) {
                kept.add(entry);
            }
        }
        return kept;
    }

    /** Returns the organisations that were granted most, at most {@link #MAX_ORGANISATIONS}. */
    static Map<PartnerId, Double> mostGranted(Map<PartnerId, Double> granted) {
        if (granted.size() <= MAX_ORGANISATIONS) {
            return granted;
        }
        List<Map.Entry<PartnerId, Double>> byTokens = new ArrayList<>(granted.entrySet());
        byTokens.sort(Map.Entry.<PartnerId, Double>comparingByValue().reversed());
        Map<PartnerId, Double> most = new HashMap<>();
        byTokens.subList(0, MAX_ORGANISATIONS)
                .forEach(each -> most.put(each.getKey(), each.getValue()));
        return most;
    }
}
