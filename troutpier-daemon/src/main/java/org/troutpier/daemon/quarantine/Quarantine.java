package org.troutpier.daemon.quarantine;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
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
 * Records the traits of requests during which upstreams crashed, as reported by all routers, and
 * determines which requests are no longer run. Without shared records, each such request looks new
 * to each router and crashes another upstream with all its other runs. Confined to the traffic
 * loop. Invariants: the records are bounded in number and age; earlier crashes are not held against
 * a content or part of which a request was completed.
 */
public final class Quarantine {

    /**
     * Maximum number of suspects. Each crash of an upstream adds the traits of the requests that
     * ran there, a few tens at most, so it takes a hundred crashes to evict the first.
     */
    private static final int MAX_SUSPECTS = 2000;

    /**
     * Maximum number of candidates. Each of them cost several upstreams, and all their rows fit
     * into one page of the store.
     */
    static final int MAX_CANDIDATES = 400;

    /** Maximum number of parts known to be sound; those in use stay, as each use renews them. */
    private static final int MAX_SOUND_PARTS = 2000;

    private static final Logger LOGGER = LogManager.getLogger(Quarantine.class);

    private final QuarantineSettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    private final RouterShare mShare;

    /** Traits with too few crashes to withhold requests, and those that were cleared. */
    private final ExpiringMap<CrashTrait, CrashRecord> mSuspects =
            new ExpiringMap<>(MAX_SUSPECTS, QuarantineSettings.SUSPECT_RETENTION_MILLIS);

    /** Traits with enough crashes to withhold requests, unless others explain these crashes. */
    private final ExpiringMap<CrashTrait, CrashRecord> mCandidates;

    /** Parts of prompts with which requests were completed at this router. */
    private final ExpiringMap<CrashTrait.ForPart, Boolean> mSoundParts =
            new ExpiringMap<>(MAX_SOUND_PARTS, QuarantineSettings.SOUND_RETENTION_MILLIS);

    /** Coarse hashes of all recorded contents, and of some that were removed since. */
    private final Set<String> mCoarseHashes = new HashSet<>();

    private final QuarantineCounters mCounters;

    /** Traits whose record this router changed itself. */
    private final ExpiringMap<CrashTrait, Boolean> mChangedLocally =
            new ExpiringMap<>(MAX_SUSPECTS, QuarantineSettings.SUSPECT_RETENTION_MILLIS);

    private final WithheldTraits mWithheld;

    private final ServiceOutcomes mOutcomes = new ServiceOutcomes();

    private final TrialSchedule mTrials;

    /** Receives the changes made by this router. */
    private Consumer<CrashReport> mLocalListener = report -> {};

    /** Receives upstreams whose crash another router reported. */
    private Consumer<UpstreamIncarnation> mCrashListener = upstream -> {};

    /** Receives merged records of traits that this router reported. */
    private Consumer<CrashReport> mMergedListener = report -> {};

    /**
     * Creates a quarantine without any records.
     *
     * @param millis the monotonic clock, milliseconds
     */
    public Quarantine(QuarantineSettings settings, LongSupplier millis, MetricRegistry metrics) {
        this(settings, millis, RouterShare.ForFewRouters.INSTANCE, metrics);
    }

    /**
     * Creates a quarantine without any records.
     *
     * @param millis the monotonic clock, milliseconds
     * @param share what this router does of that which each router could do
     */
    public Quarantine(
            QuarantineSettings settings,
            LongSupplier millis,
            RouterShare share,
            MetricRegistry metrics) {
        mSettings = settings;
        mMillis = millis;
        mShare = share;
        mTrials = new TrialSchedule(settings, share);
        mCandidates = new ExpiringMap<>(MAX_CANDIDATES, settings.quarantineMillis());
        mCounters = QuarantineCounters.register(metrics);
        mWithheld = new WithheldTraits(settings, mCandidates, this::isSound, mCounters);
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

    /**
     * Sets the listener for crashes that other routers found.
     *
     * @param listener receives each crashed upstream, on the traffic loop; several times if several
     *     traits were lost with it
     */
    public void onReportedCrash(Consumer<UpstreamIncarnation> listener) {
        mCrashListener = listener;
    }

    /** Returns whether no trait is recorded. */
    public boolean isEmpty() {
        long now = mMillis.getAsLong();
        return mSuspects.isEmpty(now) && mCandidates.isEmpty(now);
    }

    /**
     * Returns whether a content with a coarse hash may be recorded, so that its fingerprint is
     * needed.
     *
     * @return whether one may be recorded; false positives are possible, false negatives are not
     */
    public boolean mightContain(String coarseHash) {
        return mCoarseHashes.contains(coarseHash);
    }

    /** Returns whether requests are withheld for a trait, alone or together with another one. */
    public boolean isQuarantined(CrashTrait trait) {
        return mWithheld.contains(trait, mMillis.getAsLong());
    }

    /**
     * Returns why a request must not be run, if so, and counts it.
     *
     * @param traits the request's traits
     * @param permit the request's permit to be run on trial, which may be granted here
     * @return empty if the request may be run
     */
    public Optional<Withholding> withhold(
            String service, Collection<? extends CrashTrait> traits, TrialPermit permit) {
        long now = mMillis.getAsLong();
        List<CrashTrait> reasons = mWithheld.reasonsToWithhold(traits, now);
        if (reasons.isEmpty()) {
            return Optional.empty();
        }
        Withholding withholding = strongestReason(service, reasons, now);
        if (withholding.provisional()) {
            grantIfDue(service, withholding, permit, now);
            if (permit.covers(withholding.trait(), withholding.crashes())) {
                return Optional.empty();
            }
        }
        mCounters.of(withholding.trait()).withheld().inc();
        if (withholding.trait() instanceof CrashTrait.ForPart) {
            mOutcomes.recordWithheld(service, now);
        }
        return Optional.of(withholding);
    }

    /** Returns a reason that is proved if there is one, and a provisional one otherwise. */
    private Withholding strongestReason(String service, List<CrashTrait> reasons, long now) {
        boolean proved = mOutcomes.areOthersCompleted(service, now);
        return reasons.stream()
                .filter(trait -> proved || trait instanceof RequestFingerprint)
                .findFirst()
                .map(trait -> new Withholding(trait, crashCount(trait), false))
                .orElseGet(() -> new Withholding(reasons.get(0), crashCount(reasons.get(0)), true));
    }

    private void grantIfDue(String service, Withholding withholding, TrialPermit permit, long now) {
        CrashTrait trait = withholding.trait();
        int crashes = withholding.crashes();
        if (!permit.covers(trait, crashes)
                && mOutcomes.areMostWithheld(service, now)
                && mTrials.startIfDue(trait, crashes, now)) {
            LOGGER.warn(
                    "request on trial {} ended={} service={}", trait.logField(), crashes, service);
            mCounters.of(trait).trials().inc();
            permit.grant(trait, crashes);
        }
    }

    /** Returns the number of upstreams that crashed during requests with a trait. */
    public int crashCount(CrashTrait trait) {
        return record(trait).ended().size();
    }

    /**
     * Records that an upstream crashed while it worked on a request of this router.
     *
     * @param suspects the request's traits; parts that are known to be sound are not suspected
     */
    public void recordCrash(
            Collection<? extends CrashTrait> suspects, UpstreamIncarnation upstream) {
        suspects.stream()
                .filter(trait -> !isSound(trait))
                .forEach(trait -> recordCrash(trait, upstream));
    }

    private void recordCrash(CrashTrait trait, UpstreamIncarnation upstream) {
        CrashRecord before = record(trait);
        CrashRecord after = before.with(upstream);
        if (after.equals(before)) {
            return;
        }
        mCounters.of(trait).crashes().inc();
        LOGGER.warn(
                "upstream crashed while working on a request {} upstream={} ended={}",
                trait.logField(),
                upstream,
                after.ended().size());
        publish(trait, after);
    }

    /** Records that a service completed a request at this router. */
    public void recordServed(String service) {
        mOutcomes.recordCompleted(service, mMillis.getAsLong());
    }

    /** Records that a request was completed at this router, which clears its content. */
    public void recordCompletion(RequestFingerprint content) {
        clear(content, "ran whole");
    }

    /**
     * Records that a part of a prompt crashes no upstream, since a request with it was completed or
     * wrote for some time. A part that another router suspects is cleared there.
     */
    public void recordSound(CrashTrait.ForPart part) {
        long now = mMillis.getAsLong();
        boolean known = mSoundParts.contains(part, now);
        mSoundParts.put(part, Boolean.TRUE, now);
        CrashRecord record = record(part);
        if (record.ended().isEmpty()) {
            return;
        }
        if (!known) {
            mWithheld.onChange();
        }
        if (mChangedLocally.contains(part, now)
                || mTrials.hasStarted(part, now)
                || mSettings.isNearThreshold(record) && mShare.clears()) {
            clear(part, "ran whole");
        }
    }

    private boolean isSound(CrashTrait trait) {
        return trait instanceof CrashTrait.ForPart part
                && mSoundParts.contains(part, mMillis.getAsLong());
    }

    /**
     * Clears all traits that are named by an operator.
     *
     * @param name a trait's key, or at least the characters of its short name
     * @return the number of traits found; 0 if the name is too short
     */
    public int clear(String name) {
        List<CrashTrait> matching =
                records().keySet().stream().filter(trait -> trait.isNamed(name)).toList();
        matching.forEach(trait -> clear(trait, "operator"));
        return matching.size();
    }

    /** Clears a trait, unless no crash is recorded against it. */
    private void clear(CrashTrait trait, String cause) {
        CrashRecord before = record(trait);
        if (!before.ended().isEmpty()) {
            mCounters.of(trait).cleared().inc();
            LOGGER.info("request cleared {} cause={}", trait.logField(), cause);
            publish(trait, before.cleared());
        }
    }

    /** Stores a change made by this router, and notifies the listener. */
    private void publish(CrashTrait trait, CrashRecord record) {
        store(trait, record);
        mChangedLocally.put(trait, Boolean.TRUE, mMillis.getAsLong());
        mLocalListener.accept(new CrashReport(trait, record));
    }

    /** Merges a report of another router. */
    public void merge(CrashReport report) {
        CrashRecord before = record(report.trait());
        CrashRecord after = before.merge(report.record());
        if (after.equals(before)) {
            return;
        }
        store(report.trait(), after);
        if (mChangedLocally.contains(report.trait(), mMillis.getAsLong())) {
            mMergedListener.accept(new CrashReport(report.trait(), after));
        }
        after.ended().stream()
                .filter(upstream -> !before.ended().contains(upstream))
                .forEach(mCrashListener);
    }

    /** Removes a trait whose row was deleted. */
    public void remove(CrashTrait trait) {
        mSuspects.remove(trait);
        mCandidates.remove(trait);
        mWithheld.onChange();
    }

    /** Stores a record. */
    private void store(CrashTrait trait, CrashRecord record) {
        remove(trait);
        if (trait instanceof RequestFingerprint content) {
            addCoarseHash(content);
        }
        (mSettings.isQuarantined(record) ? mCandidates : mSuspects)
                .put(trait, record, mMillis.getAsLong());
    }

    private void addCoarseHash(RequestFingerprint content) {
        if (mCoarseHashes.size() > MAX_SUSPECTS + MAX_CANDIDATES) {
            mCoarseHashes.clear();
            for (CrashTrait each : records().keySet()) {
                if (each instanceof RequestFingerprint recorded) {
                    mCoarseHashes.add(recorded.coarseHash());
                }
            }
        }
        mCoarseHashes.add(content.coarseHash());
    }

    private CrashRecord record(CrashTrait trait) {
        long now = mMillis.getAsLong();
        Optional<CrashRecord> candidate = mCandidates.get(trait, now);
        return candidate.or(() -> mSuspects.get(trait, now)).orElse(CrashRecord.NONE);
    }

    /**
     * Returns all records.
     *
     * @return the records: those with fewer crashes first, each from the oldest to the newest
     */
    public Map<CrashTrait, CrashRecord> records() {
        long now = mMillis.getAsLong();
        Map<CrashTrait, CrashRecord> all = new LinkedHashMap<>(mSuspects.values(now));
        all.putAll(mCandidates.values(now));
        return all;
    }
}
