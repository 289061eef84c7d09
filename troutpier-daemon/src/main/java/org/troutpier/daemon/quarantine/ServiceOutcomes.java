package org.troutpier.daemon.quarantine;

import org.troutpier.common.collection.ExpiringMap;

/**
 * Whether a service still completes requests at this router while others are withheld. A part that
 * is in all prompts of a service leaves none of them to be completed, so its quarantine could never
 * be proved wrong. Confined to the traffic loop.
 */
final class ServiceOutcomes {

    /** Successive withheld requests after which most requests seem to have the trait. */
    private static final int MIN_SUCCESSIVE = 8;

    private static final int MAX_SERVICES = 1000;

    /** The number of requests withheld since the last completed one, by service. */
    private final ExpiringMap<String, Integer> mWithheldSinceCompletion =
            new ExpiringMap<>(MAX_SERVICES, QuarantineSettings.SUSPECT_RETENTION_MILLIS);

    /** The services that completed a request. */
    private final ExpiringMap<String, Boolean> mCompleted =
            new ExpiringMap<>(MAX_SERVICES, QuarantineSettings.SOUND_RETENTION_MILLIS);

    /** Records that a request was completed. */
    void recordCompleted(String service, long now) {
        mCompleted.put(service, Boolean.TRUE, now);
        mWithheldSinceCompletion.remove(service);
    }

    /** Records that a request was withheld. */
    void recordWithheld(String service, long now) {
        mWithheldSinceCompletion.put(service, withheldSinceCompletion(service, now) + 1, now);
    }

    private int withheldSinceCompletion(String service, long now) {
        return mWithheldSinceCompletion.get(service, now).orElse(0);
    }

    /** Returns whether a trait for which requests are withheld seems to be in most of them. */
    boolean areMostWithheld(String service, long now) {
        return withheldSinceCompletion(service, now) >= MIN_SUCCESSIVE;
    }

    /** Returns whether requests without the withheld traits have been completed. */
    boolean areOthersCompleted(String service, long now) {
        return mCompleted.contains(service, now) && !areMostWithheld(service, now);
    }
}
