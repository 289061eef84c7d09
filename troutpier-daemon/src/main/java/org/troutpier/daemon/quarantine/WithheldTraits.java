package org.troutpier.daemon.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.collection.ExpiringMap;

/**
 * The traits for which requests are withheld, as attributed from the current records. Confined to
 * the traffic loop. Invariant: the attribution is at most {@value #TTL_MILLIS} ms older than the
 * knowledge of which parts are sound, and never older than the records.
 */
final class WithheldTraits {

    /** How long an attribution is used while the records do not change, milliseconds. */
    private static final long TTL_MILLIS = 1000;

    private static final Logger LOGGER = LogManager.getLogger(WithheldTraits.class);

    private final QuarantineSettings mSettings;

    /** Traits with enough crashes to withhold requests. */
    private final ExpiringMap<CrashTrait, CrashRecord> mCandidates;

    private final Predicate<CrashTrait> mSound;

    private final QuarantineCounters mCounters;

    /** Which traits explain the crashes, or null if records have changed since. */
    private CrashAttribution mAttribution = CrashAttribution.NONE;

    /** How many candidates it was computed from; fewer are left once some have expired. */
    private int mCandidateCount;

    /** When it was computed, milliseconds on the monotonic clock. */
    private long mComputedAt;

    /** The traits that were withheld when it was last computed. */
    private Set<CrashTrait> mTraits = Set.of();

    /**
     * Creates an instance.
     *
     * @param candidates the records of traits with enough crashes; followed as they change
     * @param sound tells the traits that are known to crash no upstream
     */
    WithheldTraits(
            QuarantineSettings settings,
            ExpiringMap<CrashTrait, CrashRecord> candidates,
            Predicate<CrashTrait> sound,
            QuarantineCounters counters) {
        mSettings = settings;
        mCandidates = candidates;
        mSound = sound;
        mCounters = counters;
    }

    /** Notes that a record changed, or that a suspected trait was found to be sound. */
    void onChange() {
        mAttribution = null;
    }

    /**
     * Returns whether requests are withheld for a trait, alone or together with another one.
     *
     * @param now the monotonic clock, milliseconds
     */
    boolean contains(CrashTrait trait, long now) {
        attribution(now);
        return mTraits.contains(trait);
    }

    /**
     * Returns the traits for which a request is withheld.
     *
     * @param traits the request's traits
     * @param now the monotonic clock, milliseconds
     * @return some of them; none if the request is run
     */
    List<CrashTrait> reasonsToWithhold(Collection<? extends CrashTrait> traits, long now) {
        return attribution(now).reasonsToWithhold(traits);
    }

    private CrashAttribution attribution(long now) {
        if (mAttribution == null
                || mCandidates.size(now) != mCandidateCount
                || now - mComputedAt > TTL_MILLIS) {
            Map<CrashTrait, CrashRecord> records = new HashMap<>(mCandidates.values(now));
            mCandidateCount = records.size();
            records.keySet().removeIf(mSound);
            mAttribution = CrashAttribution.of(records, mSettings.crashes());
            mComputedAt = now;
            replaceTraits(mAttribution.withheldTraits(), records);
        }
        return mAttribution;
    }

    /** Replaces the traits, and logs which of them entered and left. */
    private void replaceTraits(Set<CrashTrait> traits, Map<CrashTrait, CrashRecord> records) {
        for (CrashTrait trait : traits) {
            if (!mTraits.contains(trait)) {
                mCounters.of(trait).entered().inc();
                LOGGER.warn(
                        "request quarantined {} ended={} upstreams={} seconds={}",
                        trait.logField(),
                        records.get(trait).ended().size(),
                        records.get(trait).ended(),
                        mSettings.seconds());
            }
        }
        for (CrashTrait trait : mTraits) {
            if (!traits.contains(trait)) {
                LOGGER.info("request no longer quarantined {}", trait.logField());
            }
        }
        mTraits = traits;
    }
}
