package org.troutpier.daemon.quarantine;

/**
 * The permit of one request to be run though it has a quarantined trait, which it keeps until
 * another upstream crashes under that trait. Confined to the traffic loop.
 */
public final class Trial {

    /** The trait, or null if there is no permit. */
    private CrashTrait mTrait;

    /** How many upstreams had crashed when the permit was given. */
    private int mCrashes;

    /** Gives the permit. */
    void start(CrashTrait trait, int crashes) {
        mTrait = trait;
        mCrashes = crashes;
    }

    /** Returns whether the permit holds for a trait under which so many upstreams have crashed. */
    boolean covers(CrashTrait trait, int crashes) {
        return trait.equals(mTrait) && crashes == mCrashes;
    }
}
