package org.troutpier.daemon.serving;

import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.FailureRate;
import org.troutpier.daemon.decision.SlidingWindowSum;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * What this router has in flight at one upstream, and what it knows of its failures. Not thread
 * safe; confined to the traffic loop.
 */
final class UpstreamLoad {

    /**
     * Window over which call outcomes are counted, milliseconds: long enough that all routers
     * together send an upstream enough calls to recognise one that fails most of them.
     */
    static final long OUTCOME_WINDOW_MILLIS = 3000;

    private static final int OUTCOME_WINDOW_BUCKETS = 6;

    /**
     * How long usage reported by an engine remains valid, milliseconds: three polling intervals.
     */
    private static final long UNATTRIBUTED_TTL_MILLIS = 1200;

    /** Consecutive refused runs after which a decode engine counts as refusing runs. */
    private static final int CONSECUTIVE_RUN_REFUSALS = 2;

    /**
     * Initial time for which a decode engine counts as refusing runs, milliseconds; a role change
     * takes several seconds.
     */
    private static final long MIN_RUN_REFUSAL_MILLIS = 1000;

    /** Calls in flight. */
    int mCalls;

    /** Tokens of the calls in flight. */
    long mTokens;

    /** Tokens reported by the engine beyond those that the routers account for. */
    private long mUnattributedTokens;

    /** When they were reported, milliseconds. */
    private long mUnattributedAt;

    /** Whether this router reports them to the others. */
    private boolean mUnattributedShared;

    int mConsecutiveFailures;

    /** End of the ejection, milliseconds; 0 if not ejected. */
    long mEjectedUntil;

    /** Duration of the last ejection, milliseconds. */
    long mEjectionMillis;

    /**
     * Until when it is assumed to take no calls, because it was unreachable or refused one,
     * milliseconds. An upstream that is ejected for longer was silent or has failed calls.
     */
    private long mClosedUntil;

    /**
     * Until when another upstream is assumed to answer at the address, milliseconds; 0 if none is.
     */
    long mReplacedUntil;

    /** The role that the upstream was listed with when another one answered. */
    UpstreamEntry.Role mReplacedRole;

    /** Recent failed calls, without those that found the upstream unreachable. */
    final SlidingWindowSum mRecentFailures =
            new SlidingWindowSum(OUTCOME_WINDOW_MILLIS, OUTCOME_WINDOW_BUCKETS);

    /** Recent successful calls. */
    final SlidingWindowSum mRecentSuccesses =
            new SlidingWindowSum(OUTCOME_WINDOW_MILLIS, OUTCOME_WINDOW_BUCKETS);

    int mConsecutiveRunRefusals;

    /** Until when it counts as refusing runs, milliseconds; 0 if it does not. */
    long mRefusingRunsUntil;

    /**
     * Returns until when the engine accepts no run.
     *
     * @return milliseconds; a time in the past if it accepts runs
     */
    long refusesRunsUntil() {
        boolean engine = mReplacedRole == UpstreamEntry.Role.DECODE;
        return engine ? Math.max(mReplacedUntil, mRefusingRunsUntil) : mRefusingRunsUntil;
    }

    /**
     * Returns when the ejection of the upstream ends.
     *
     * @return milliseconds; a time in the past if it is not ejected
     */
    long ejectedUntil(UpstreamEntry entry) {
        boolean replaced = entry.role() == mReplacedRole;
        return replaced ? Math.max(mReplacedUntil, mEjectedUntil) : mEjectedUntil;
    }

    /**
     * Starts an ejection, unless one is in progress. Until a call succeeds, each ejection lasts
     * twice as long as the one before, up to {@link UpstreamLoads#MAX_EJECTION_MILLIS}.
     *
     * @param minMillis the shortest duration, milliseconds
     * @param closed whether the upstream is assumed to take no calls
     * @return whether an ejection was started
     */
    boolean eject(long now, long minMillis, boolean closed) {
        boolean started = now >= mEjectedUntil;
        if (started) {
            long millis = Math.max(minMillis, 2 * mEjectionMillis);
            mEjectionMillis = Math.min(UpstreamLoads.MAX_EJECTION_MILLIS, millis);
            mEjectedUntil = now + mEjectionMillis;
        }
        if (closed) {
            mClosedUntil = mEjectedUntil;
        }
        return started;
    }

    /** Ejects the upstream for a time because it refused a call. */
    void ejectRefusing(long now, long millis) {
        mEjectedUntil = Math.max(mEjectedUntil, now + millis);
        mClosedUntil = Math.max(mClosedUntil, now + millis);
    }

    /** Returns whether the upstream is assumed to take no calls. */
    boolean isClosed(UpstreamEntry entry, long now) {
        boolean replaced = entry.role() == mReplacedRole && mReplacedUntil > now;
        return replaced || mClosedUntil > now;
    }

    /** Forgets past failures and refusals after a successful call. */
    void recordSuccess(long now) {
        mRecentSuccesses.add(1, now);
        mConsecutiveFailures = 0;
        mEjectedUntil = 0;
        mEjectionMillis = 0;
        mClosedUntil = 0;
        mConsecutiveRunRefusals = 0;
        mRefusingRunsUntil = 0;
    }

    /** Returns the outcomes of the recent calls of all routers. */
    FailureRate failureRate(UpstreamUsage peers, long now) {
        return new FailureRate(
                peers.failed() + recentFailures(now), peers.succeeded() + recentSuccesses(now));
    }

    private int recentFailures(long now) {
        return (int) Math.round(mRecentFailures.sum(now));
    }

    private int recentSuccesses(long now) {
        return (int) Math.round(mRecentSuccesses.sum(now));
    }

    /** Returns whether there is anything to report to the other routers. */
    boolean isReported(long now) {
        return mCalls > 0 || sharedTokens(now) > 0 || recentFailures(now) > 0;
    }

    /**
     * Returns the usage to report to the other routers.
     *
     * @param restCorrection see {@link UpstreamUsage}
     */
    UpstreamUsage usage(long now, long restCorrection) {
        return new UpstreamUsage(
                mCalls,
                mTokens + sharedTokens(now),
                recentFailures(now),
                recentSuccesses(now),
                restCorrection);
    }

    private long sharedTokens(long now) {
        return mUnattributedShared ? unattributedTokens(now) : 0;
    }

    /**
     * Records the tokens in use at an engine that no router accounts for.
     *
     * @param share whether this router reports them to the others
     */
    void recordUnattributedTokens(long tokens, boolean share, long now) {
        mUnattributedTokens = tokens;
        mUnattributedShared = share;
        mUnattributedAt = now;
    }

    /**
     * Returns the tokens in use at an engine that no router accounts for, or 0 if the last report
     * is too old.
     */
    long unattributedTokens(long now) {
        return now - mUnattributedAt <= UNATTRIBUTED_TTL_MILLIS ? mUnattributedTokens : 0;
    }

    /**
     * Records that the engine refused a run. Each refusal after the first ones doubles the time for
     * which it counts as refusing runs.
     *
     * @return that time, milliseconds; 0 while there are too few refusals
     */
    long recordRunRefusal(long now) {
        mConsecutiveRunRefusals++;
        if (mConsecutiveRunRefusals < CONSECUTIVE_RUN_REFUSALS) {
            return 0;
        }
        int doublings =
                Math.min(mConsecutiveRunRefusals - CONSECUTIVE_RUN_REFUSALS, Integer.SIZE / 2);
        long millis =
                Math.min(UpstreamLoads.MAX_EJECTION_MILLIS, MIN_RUN_REFUSAL_MILLIS << doublings);
        mRefusingRunsUntil = now + millis;
        return millis;
    }
}
