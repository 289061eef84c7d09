package org.troutpier.daemon.waiting;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;

/**
 * What one or several routers tell the others of their waiting requests. Immutable and thread safe.
 * Invariant: at most one entry for each service, tier, urgency and organisation.
 *
 * @param entries the waiting requests
 * @param granted what each organisation was granted recently, tokens
 * @param returning what refused requests need that were told to return and have not yet, tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WaitingReport(List<Entry> entries, Map<PartnerId, Double> granted, double returning) {

    /** No waiting request. */
    public static final WaitingReport NONE = new WaitingReport(List.of(), Map.of(), 0);

    /** Copies the collections; null stands for none. */
    public WaitingReport {
        entries = entries == null ? List.of() : List.copyOf(entries);
        granted = granted == null ? Map.of() : Map.copyOf(granted);
    }

    /**
     * The waiting requests of one service, tier, urgency and organisation. Immutable and thread
     * safe.
     *
     * @param service the service
     * @param tier the queue tier
     * @param rank the urgency; 0 is the most urgent
     * @param organisation the organisation
     * @param cost the capacity that they wait for: tokens of memory, or calls
     * @param latestStartMillis the time from now until the first of them has to start to meet its
     *     target, milliseconds; negative if it is late
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Entry(
            String service,
            QueueTier tier,
            int rank,
            PartnerId organisation,
            double cost,
            long latestStartMillis) {

        private Entry plus(Entry other) {
            return new Entry(
                    service,
                    tier,
                    rank,
                    organisation,
                    cost + other.cost,
                    Math.min(latestStartMillis, other.latestStartMillis));
        }

        private Entry aged(long millis) {
            return new Entry(service, tier, rank, organisation, cost, latestStartMillis - millis);
        }
    }

    /**
     * What entries are added by. Immutable and thread safe.
     *
     * @param service the service
     * @param tier the queue tier
     * @param rank the urgency
     * @param organisation the organisation
     */
    private record Key(String service, QueueTier tier, int rank, PartnerId organisation) {

        private static Key of(Entry entry) {
            return new Key(entry.service(), entry.tier(), entry.rank(), entry.organisation());
        }
    }

    /**
     * Returns this report with more that is to return.
     *
     * @param tokens what refused requests need that were told to return and have not yet, tokens
     */
    public WaitingReport plusReturning(double tokens) {
        return tokens == 0 ? this : plus(List.of(new WaitingReport(List.of(), Map.of(), tokens)));
    }

    /** Returns the sum of this report and others. */
    public WaitingReport plus(Iterable<WaitingReport> others) {
        Map<Key, Entry> allEntries = new HashMap<>();
        entries.forEach(entry -> allEntries.merge(Key.of(entry), entry, Entry::plus));
        Map<PartnerId, Double> allGranted = new HashMap<>(granted);
        double allReturning = returning;
        for (WaitingReport other : others) {
            allReturning += other.returning;
            other.entries.forEach(entry -> allEntries.merge(Key.of(entry), entry, Entry::plus));
            other.granted.forEach((id, tokens) -> allGranted.merge(id, tokens, Double::sum));
        }
        return new WaitingReport(new ArrayList<>(allEntries.values()), allGranted, allReturning);
    }

    /**
     * Returns this report as of a later time.
     *
     * @param millis the time that has passed, milliseconds
     */
    public WaitingReport aged(long millis) {
        return entries.isEmpty()
                ? this
                : new WaitingReport(
                        entries.stream().map(entry -> entry.aged(millis)).toList(),
                        granted,
                        returning);
    }
}
