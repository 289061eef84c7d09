package org.troutpier.daemon.quarantine;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.collection.ExpiringMap;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * Records the requests during which upstreams crashed, as reported by all routers, and determines
 * which of them are no longer run. Without shared records, each retry of such a request looks new
 * to each router and crashes another upstream with all its other runs: one request crashed 24
 * engines with up to twelve other runs each, and the answers of half a minute were lost. Confined
 * to the traffic loop. Invariants: the records are bounded in number and age; earlier crashes are
 * not held against a request that was completed.
 */
public final class Quarantine {

    /**
     * Maximum number of suspects. Each crash of an upstream adds the requests that ran there, a few
     * tens at most, so it takes a hundred crashes to evict the first.
     */
    private static final int MAX_SUSPECTS = 2000;

    /**
     * Maximum number of quarantined requests. Each of them cost several upstreams, and all their
     * rows fit into one page of the store.
     */
    static final int MAX_QUARANTINED = 400;

    private static final Logger LOGGER = LogManager.getLogger(Quarantine.class);

    private final QuarantineSettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /**
     * Requests that are still run although upstreams crashed during them, and requests that were
     * cleared.
     */
    private final ExpiringMap<RequestFingerprint, CrashRecord> mSuspects =
            new ExpiringMap<>(MAX_SUSPECTS, QuarantineSettings.SUSPECT_RETENTION_MILLIS);

    /** Requests that are no longer run. */
    private final ExpiringMap<RequestFingerprint, CrashRecord> mQuarantined;

    /** Coarse hashes of all recorded requests, and of some that were removed since. */
    private final Set<String> mCoarseHashes = new HashSet<>();

    /** Counts crashes that this router recorded against a request. */
    private final Counter mCrashCount;

    /** Counts requests that entered quarantine, as known to this router. */
    private final Counter mEnteredCount;

    /** Counts requests that this router cleared. */
    private final Counter mClearedCount;

    /** Requests whose record this router changed itself. */
    private final ExpiringMap<RequestFingerprint, Boolean> mChangedLocally =
            new ExpiringMap<>(MAX_SUSPECTS, QuarantineSettings.SUSPECT_RETENTION_MILLIS);

    /** Receives the changes made by this router. */
    private Consumer<CrashReport> mLocalListener = report -> {};

    /** Receives merged records of requests that this router reported. */
    private Consumer<CrashReport> mMergedListener = report -> {};

    /**
     * Creates a quarantine without any records.
     *
     * @param millis the monotonic clock, milliseconds
     */
    public Quarantine(QuarantineSettings settings, LongSupplier millis, MetricRegistry metrics) {
        mSettings = settings;
        mMillis = millis;
        mQuarantined = new ExpiringMap<>(MAX_QUARANTINED, settings.quarantineMillis());
        mCrashCount = metrics.counter("quarantine.crashes");
        mEnteredCount = metrics.counter("quarantine.entered");
        mClearedCount = metrics.counter("quarantine.cleared");
    }

    /**
     * Sets the listener for changes made by this router.
     *
     * @param listener receives each report, on the traffic loop
     */
    public void onLocalChange(Consumer<CrashReport> listener) {
        mLocalListener = listener;
    }

    /**
     * Sets the listener for records that this router changed and that a report of another router
     * extended. Several routers may each find one crash at the same time, so none of them knows the
     * merged record yet.
     *
     * @param listener receives each merged report, on the traffic loop
     */
    public void onMergedChange(Consumer<CrashReport> listener) {
        mMergedListener = listener;
    }

    /** Returns whether no request is recorded. */
    public boolean isEmpty() {
        long now = mMillis.getAsLong();
        return mSuspects.isEmpty(now) && mQuarantined.isEmpty(now);
    }

    /**
     * Returns whether a request with a coarse hash may be recorded, so that its fingerprint is
     * needed.
     *
     * @return whether one may be recorded; false positives are possible, false negatives are not
     */
    public boolean mightContain(String coarseHash) {
        return mCoarseHashes.contains(coarseHash);
    }

    /** Returns whether a request is no longer run. */
    public boolean isQuarantined(RequestFingerprint request) {
        return mQuarantined.contains(request, mMillis.getAsLong());
    }

    /** Records that an upstream crashed while it worked on a request of this router. */
    public void recordCrash(RequestFingerprint request, UpstreamIncarnation upstream) {
        CrashRecord before = record(request);
        CrashRecord after = before.with(upstream);
        if (after.equals(before)) {
            return;
        }
        mCrashCount.inc();
        LOGGER.warn(
                "upstream crashed while working on a request content={} upstream={} ended={}",
                request,
                upstream,
                after.ended().size());
        publish(request, after);
    }

    /** Records that a request was completed at this router, which clears it. */
    public void recordCompletion(RequestFingerprint request) {
        clear(request, "ran whole");
    }

    /**
     * Clears all requests with a fingerprint that starts with a name.
     *
     * @param name the fingerprint, or at least the digits of its short name
     * @return the number of requests found; 0 if the name is too short
     */
    public int clear(String name) {
        if (name.length() < RequestFingerprint.SHORT_DIGITS) {
            return 0;
        }
        List<RequestFingerprint> matching = new ArrayList<>();
        for (RequestFingerprint request : records().keySet()) {
            if (request.value().startsWith(name)) {
                matching.add(request);
            }
        }
        matching.forEach(request -> clear(request, "operator"));
        return matching.size();
    }

    /** Clears a request, unless no crash is recorded against it. */
    private void clear(RequestFingerprint request, String cause) {
        CrashRecord before = record(request);
        if (!before.ended().isEmpty()) {
            mClearedCount.inc();
            LOGGER.info("request cleared content={} cause={}", request, cause);
            publish(request, before.cleared());
        }
    }

    /** Stores a change made by this router, and notifies the listener. */
    private void publish(RequestFingerprint request, CrashRecord record) {
        store(request, record);
        mChangedLocally.put(request, Boolean.TRUE, mMillis.getAsLong());
        mLocalListener.accept(new CrashReport(request, record));
    }

    /** Merges a report of another router. */
    public void merge(CrashReport report) {
        CrashRecord before = record(report.request());
        CrashRecord after = before.merge(report.record());
        if (after.equals(before)) {
            return;
        }
        store(report.request(), after);
        if (mChangedLocally.contains(report.request(), mMillis.getAsLong())) {
            mMergedListener.accept(new CrashReport(report.request(), after));
        }
    }

    /** Removes a request whose row was deleted. */
    public void remove(RequestFingerprint request) {
        mSuspects.remove(request);
        mQuarantined.remove(request);
    }

    /** Stores a record. */
    private void store(RequestFingerprint request, CrashRecord record) {
        long now = mMillis.getAsLong();
        boolean quarantined = isQuarantined(request);
        remove(request);
        if (mCoarseHashes.size() > MAX_SUSPECTS + MAX_QUARANTINED) {
            mCoarseHashes.clear();
            records().keySet().forEach(each -> mCoarseHashes.add(each.coarseHash()));
        }
        mCoarseHashes.add(request.coarseHash());
        if (!mSettings.isQuarantined(record)) {
            mSuspects.put(request, record, now);
            return;
        }
        mQuarantined.put(request, record, now);
        if (!quarantined) {
            mEnteredCount.inc();
            LOGGER.warn(
                    "request quarantined content={} ended={} seconds={}",
                    request,
                    record.ended().size(),
                    mSettings.seconds());
        }
    }

    private CrashRecord record(RequestFingerprint request) {
        long now = mMillis.getAsLong();
        Optional<CrashRecord> quarantined = mQuarantined.get(request, now);
        return quarantined.or(() -> mSuspects.get(request, now)).orElse(CrashRecord.NONE);
    }

    /**
     * Returns all records.
     *
     * @return the records: suspects first, then quarantined requests, each from the oldest to the
     *     newest
     */
    public Map<RequestFingerprint, CrashRecord> records() {
        long now = mMillis.getAsLong();
        Map<RequestFingerprint, CrashRecord> all = new LinkedHashMap<>(mSuspects.values(now));
        all.putAll(mQuarantined.values(now));
        return all;
    }
}
