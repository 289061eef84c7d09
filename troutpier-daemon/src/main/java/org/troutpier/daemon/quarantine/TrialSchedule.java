package org.troutpier.daemon.quarantine;

import org.troutpier.common.collection.ExpiringMap;

/**
 * Determines when a request with a quarantined trait is run on trial, since a trait with which no
 * request is run can never be proved sound. Trials of all routers follow each other at a fixed
 * interval and a random one of the same mean; the interval grows with the number of crashes, and
 * there is none after {@value #MAX_CRASHES} more crashes than quarantine a trait. Confined to the
 * traffic loop.
 */
final class TrialSchedule {

    /** Crashes beyond those that quarantine a trait from which on trials are rare. */
    private static final int FREQUENT_CRASHES = 2;

    /** Crashes beyond those that quarantine a trait from which on there are no trials. */
    private static final int MAX_CRASHES = 4;

    /** Longer than it takes until all routers know of a crash, milliseconds. */
    private static final long FREQUENT_INTERVAL_MILLIS = 500;

    private static final long RARE_INTERVAL_MILLIS = 30_000;

    private final QuarantineSettings mSettings;

    private final RouterShare mShare;

    private final ExpiringMap<CrashTrait, Turn> mTurns;

    /**
     * When this router may start its next trial with a trait.
     *
     * @param crashes the upstreams that had crashed under the trait when it was drawn
     * @param notBefore milliseconds on the monotonic clock
     * @param started whether this router has started a trial before
     */
    private record Turn(int crashes, long notBefore, boolean started) {}

    TrialSchedule(QuarantineSettings settings, RouterShare share) {
        mSettings = settings;
        mShare = share;
        mTurns = new ExpiringMap<>(Quarantine.MAX_CANDIDATES, settings.quarantineMillis());
    }

    /**
     * Returns whether a request is run on trial now.
     *
     * @param crashes the upstreams that have crashed under the trait
     * @param now the monotonic clock, milliseconds
     */
    boolean startIfDue(CrashTrait trait, int crashes, long now) {
        if (crashes >= mSettings.crashes() + MAX_CRASHES) {
            return false;
        }
        Turn turn = mTurns.get(trait, now).orElse(new Turn(0, 0, false));
        if (turn.crashes() != crashes) {
            mTurns.put(trait, draw(crashes, now, turn.started()), now);
            return false;
        }
        if (now < turn.notBefore()) {
            return false;
        }
        mTurns.put(trait, draw(crashes, now, true), now);
        return true;
    }

    private Turn draw(int crashes, long now, boolean started) {
        boolean few = crashes < mSettings.crashes() + FREQUENT_CRASHES;
        long millis = few ? FREQUENT_INTERVAL_MILLIS : RARE_INTERVAL_MILLIS;
        return new Turn(crashes, now + millis + mShare.drawDelay(millis), started);
    }

    /** Returns whether this router started a trial with a trait. */
    boolean hasStarted(CrashTrait trait, long now) {
        return mTurns.get(trait, now).map(Turn::started).orElse(false);
    }
}
