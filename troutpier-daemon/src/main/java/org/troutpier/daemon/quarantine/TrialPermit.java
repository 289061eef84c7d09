package org.troutpier.daemon.quarantine;

/**
 * Whether one request may be run though it has a quarantined trait. A granted permit holds until
 * another upstream crashes under that trait. Confined to the traffic loop.
 */
public final class TrialPermit {

    /** The trait; null until the permit is granted. */
    private CrashTrait mTrait;

    /** How many upstreams had crashed when it was granted. */
    private int mCrashes;

    /** Grants the permit. */
    void grant(CrashTrait trait, int crashes) {
        mTrait = trait;
        mCrashes = crashes;
    }

    /** Returns whether it holds for a trait under which a number of upstreams have crashed. */
    boolean covers(CrashTrait trait, int crashes) {
        return trait.equals(mTrait) && crashes == mCrashes;
    }
}
