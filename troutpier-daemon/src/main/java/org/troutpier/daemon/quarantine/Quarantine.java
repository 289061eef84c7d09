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
import org.troutpier.common.collection.AgingMap;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * The requests under which upstreams ended, as all routers told each other, and which of them are
 * no longer run. Judged alone, each try of such a request looks new at each router, and ends an
 * upstream with all its other runs: 24 engines ended under one request, with up to twelve runs
 * each, while the summaries of half a minute were lost. Confined to the traffic loop. Invariants:
 * bounded in number and age; a request that ran whole is not held against what ended before.
 */
public final class Quarantine {

    /**
     * How many such requests are remembered: each end of an upstream names those that ran there, at
     * most some tens, so it takes a hundred ends to forget the first.
     */
    private static final int MOST_SUSPECTS = 2000;

    /**
     * How many requests are in quarantine at most: each cost several upstreams, and all their rows
     * fit into one page of the store.
     */
    static final int MOST_QUARANTINED = 400;

    /** Logs each step of a request into quarantine and out of it. */
    private static final Logger LOGGER = LogManager.getLogger(Quarantine.class);

    /** What holds. */
    private final QuarantineSettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** The requests under which upstreams ended that are still run, and those that were cleared. */
    private final AgingMap<RequestFingerprint, CrashRecord> mSuspects =
            new AgingMap<>(MOST_SUSPECTS, QuarantineSettings.SUSPECT_MILLIS);

    /** The requests that are no longer run. */
    private final AgingMap<RequestFingerprint, CrashRecord> mQuarantined;

    /** The outlines of all of them, and of some that were forgotten since. */
    private final Set<String> mOutlines = new HashSet<>();

    /** Counts ends of upstreams that were held against a request here. */
    private final Counter mCrashes;

    /** Counts requests that came into quarantine, as this router heard. */
    private final Counter mEntered;

    /** Counts requests that were cleared here. */
    private final Counter mCleared;

    /** The requests of which this router found out a part. */
    private final AgingMap<RequestFingerprint, Boolean> mFoundHere =
            new AgingMap<>(MOST_SUSPECTS, QuarantineSettings.SUSPECT_MILLIS);

    /** Takes what this router found out. */
    private Consumer<CrashReport> mTeller = report -> {};

    /** Takes what is known together with others of a request that this router told of. */
    private Consumer<CrashReport> mMerged = report -> {};

    /**
     * Creates a quarantine without requests.
     *
     * @param settings what holds
     * @param millis the monotonic clock, milliseconds
     * @param metrics counts
     */
    public Quarantine(QuarantineSettings settings, LongSupplier millis, MetricRegistry metrics) {
        mSettings = settings;
        mMillis = millis;
        mQuarantined = new AgingMap<>(MOST_QUARANTINED, settings.heldMillis());
        mCrashes = metrics.counter("quarantine.crashes");
        mEntered = metrics.counter("quarantine.entered");
        mCleared = metrics.counter("quarantine.cleared");
    }

    /**
     * Sets who is told of what this router finds out.
     *
     * @param teller takes each report, on the traffic loop
     */
    public void onLocalChange(Consumer<CrashReport> teller) {
        mTeller = teller;
    }

    /**
     * Sets who is told when others knew more of a request of which this router found out a part:
     * several may find one end each in the same moment, and none of them knows of more then.
     *
     * @param listener takes each report, on the traffic loop
     */
    public void onMergedChange(Consumer<CrashReport> listener) {
        mMerged = listener;
    }

    /**
     * Returns whether no request is known.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        long now = mMillis.getAsLong();
        return mSuspects.isEmpty(now) && mQuarantined.isEmpty(now);
    }

    /**
     * Returns whether a request with an outline may be known, so that its fingerprint is needed.
     *
     * @param outline the outline
     * @return whether one may be; always if one is
     */
    public boolean mightContain(String outline) {
        return mOutlines.contains(outline);
    }

    /**
     * Returns whether a request is no longer run.
     *
     * @param request the request
     * @return whether it is in quarantine
     */
    public boolean isQuarantined(RequestFingerprint request) {
        return mQuarantined.contains(request, mMillis.getAsLong());
    }

    /**
     * Records that an upstream ended while it worked on a request of this router.
     *
     * @param request the request
     * @param upstream the start that ended
     */
    public void recordCrash(RequestFingerprint request, UpstreamIncarnation upstream) {
        CrashRecord before = record(request);
        CrashRecord after = before.with(upstream);
        if (after.equals(before)) {
            return;
        }
        mCrashes.inc();
        LOGGER.warn(
                "upstream ended under a request content={} upstream={} ended={}",
                request,
                upstream,
                after.ended().size());
        found(request, after);
    }

    /**
     * Records that a request ran whole at this router, which clears it.
     *
     * @param request the request
     */
    public void recordCompletion(RequestFingerprint request) {
        clear(request, "ran whole");
    }

    /**
     * Clears all requests that a name stands for.
     *
     * @param name the fingerprint, or at least the digits of its short name
     * @return how many there were
     */
    public int clear(String name) {
        if (name.length() < RequestFingerprint.SHORT_DIGITS) {
            return 0;
        }
        List<RequestFingerprint> named = new ArrayList<>();
        for (RequestFingerprint request : records().keySet()) {
            if (request.value().startsWith(name)) {
                named.add(request);
            }
        }
        named.forEach(request -> clear(request, "operator"));
        return named.size();
    }

    /**
     * Clears a request, unless nothing is held against it.
     *
     * @param request the request
     * @param cause why
     */
    private void clear(RequestFingerprint request, String cause) {
        CrashRecord before = record(request);
        if (!before.ended().isEmpty()) {
            mCleared.inc();
            LOGGER.info("request cleared content={} cause={}", request, cause);
            found(request, before.cleared());
        }
    }

    /**
     * Keeps what this router found out, and has it told.
     *
     * @param request the request
     * @param record what is known of it now
     */
    private void found(RequestFingerprint request, CrashRecord record) {
        keep(request, record);
        mFoundHere.put(request, Boolean.TRUE, mMillis.getAsLong());
        mTeller.accept(new CrashReport(request, record));
    }

    /**
     * Takes what another router found out.
     *
     * @param report what it told
     */
    public void merge(CrashReport report) {
        CrashRecord before = record(report.request());
        CrashRecord after = before.merge(report.record());
        if (after.equals(before)) {
            return;
        }
        keep(report.request(), after);
        if (mFoundHere.contains(report.request(), mMillis.getAsLong())) {
            mMerged.accept(new CrashReport(report.request(), after));
        }
    }

    /**
     * Forgets a request, as its row is gone.
     *
     * @param request the request
     */
    public void remove(RequestFingerprint request) {
        mSuspects.remove(request);
        mQuarantined.remove(request);
    }

    /**
     * Keeps a record.
     *
     * @param request the request
     * @param record what is known of it now
     */
    private void keep(RequestFingerprint request, CrashRecord record) {
        long now = mMillis.getAsLong();
        boolean held = isQuarantined(request);
        remove(request);
        if (mOutlines.size() > MOST_SUSPECTS + MOST_QUARANTINED) {
            mOutlines.clear();
            records().keySet().forEach(each -> mOutlines.add(each.coarseHash()));
        }
        mOutlines.add(request.coarseHash());
        if (!mSettings.isQuarantined(record)) {
            mSuspects.put(request, record, now);
            return;
        }
        mQuarantined.put(request, record, now);
        if (!held) {
            mEntered.inc();
            LOGGER.warn(
                    "request quarantined content={} ended={} seconds={}",
                    request,
                    record.ended().size(),
                    mSettings.seconds());
        }
    }

    /**
     * Returns what is known of a request.
     *
     * @param request the request
     * @return its record
     */
    private CrashRecord record(RequestFingerprint request) {
        long now = mMillis.getAsLong();
        Optional<CrashRecord> held = mQuarantined.get(request, now);
        return held.or(() -> mSuspects.get(request, now)).orElse(CrashRecord.NONE);
    }

    /**
     * Returns what is known of all requests.
     *
     * @return the records: those that are still run first, the oldest first among each
     */
    public Map<RequestFingerprint, CrashRecord> records() {
        long now = mMillis.getAsLong();
        Map<RequestFingerprint, CrashRecord> all = new LinkedHashMap<>(mSuspects.values(now));
        all.putAll(mQuarantined.values(now));
        return all;
    }
}
