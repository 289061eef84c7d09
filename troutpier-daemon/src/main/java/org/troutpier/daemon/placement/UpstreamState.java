package org.troutpier.daemon.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.troutpier.common.declaration.UpstreamDeclaration;

/**
 * The state of one upstream as known to this router. Confined to the control thread. Invariant: the
 * number of this router's requests at the upstream never becomes negative.
 */
public final class UpstreamState {

    /** Maximum number of cached prefix blocks that are remembered. */
    private static final int MAX_CACHED_BLOCKS = 20_000;

    /** Time for which an upstream is not used after it could not be reached. */
    private static final long COOLDOWN_NANOS = 1_000_000_000L;

    /** Number of consecutive missed load reports after which an upstream counts as unreachable. */
    private static final int MISSED_REPORTS_LIMIT = 2;

    /** Weight of a new sample in the exponential moving averages. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private UpstreamDeclaration mDeclaration;

    /** Whether the upstream or the instance list reported that it is leaving. */
    private boolean mLeaving;

    /** End of the cooldown; only meaningful if {@link #mInCooldown} is set. */
    private long mCooldownUntil;

    /** Whether a cooldown was started and no load report has arrived since. */
    private boolean mInCooldown;

    /** Number of consecutive missed load reports. */
    private int mMissedReports;

    /** Number of this router's requests at the upstream. */
    private int mLocalRequests;

    /**
     * Number of this router's uncached tokens that are queued or being computed, for a prefill
     * engine.
     */
    private long mLocalTokens;

    /** Number of requests in the last load report. */
    private int mReportedRunning;

    /** Number of queued tokens in the last load report. */
    private long mReportedTokens;

    /** Value of {@link #mLocalRequests} at the last load report. */
    private int mLocalRequestsAtReport;

    /** Value of {@link #mLocalTokens} at the last load report. */
    private long mLocalTokensAtReport;

    /** Moving average of the prefill time per uncached token. */
    private double mNanosPerToken;

    /** Moving average of the time from the decode request to its first token. */
    private double mFirstStepNanos;

    /** Moving average of the time for which a decode holds its slot. */
    private double mHoldNanos;

    /** Ids of the prefix blocks reported as cached, oldest first. */
    private final Set<Long> mCachedBlocks = new LinkedHashSet<>();

    private long mLastEventNumber;

    /** Creates the state of an upstream of which only the declaration is known. */
    public UpstreamState(UpstreamDeclaration declaration) {
        mDeclaration = declaration;
        final double nanosPerSecond = 1e9;
        final double initialFirstStepNanos = 50e6;
        mNanosPerToken = nanosPerSecond / declaration.prefillTokensPerSecond();
        mFirstStepNanos = initialFirstStepNanos;
        mHoldNanos = nanosPerSecond;
    }

    /** Returns the current declaration. */
    public UpstreamDeclaration declaration() {
        return mDeclaration;
    }

    /** Replaces the declaration. */
    public void setDeclaration(UpstreamDeclaration declaration) {
        mDeclaration = declaration;
    }

    /**
     * Returns whether new requests may be sent to the upstream: it is neither draining nor leaving,
     * and not in cooldown.
     *
     * @param now time on the monotonic clock
     */
    public boolean isUsable(long now) {
        boolean inCooldown = mInCooldown && now - mCooldownUntil < 0;
        return !mDeclaration.draining() && !mLeaving && !inCooldown;
    }

    /**
     * Records that no connection could be established. The upstream is not used until the cooldown
     * ends or it reports its load again.
     *
     * @param now time on the monotonic clock
     */
    public void recordUnreachable(long now) {
        mInCooldown = true;
        mCooldownUntil = now + COOLDOWN_NANOS;
    }

    /**
     * Records a missing load report. A single one may be caused by this router itself; after
     * several in a row the upstream counts as unreachable.
     *
     * @param now time on the monotonic clock
     */
    public void recordMissedReport(long now) {
        mMissedReports++;
        if (mMissedReports >= MISSED_REPORTS_LIMIT) {
            recordUnreachable(now);
        }
    }

    /** Sets whether the upstream is leaving. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Returns whether the upstream is leaving. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Records a load report, which also ends a cooldown.
     *
     * @param running number of requests at the upstream
     * @param waitingTokens number of tokens queued there
     */
    public void recordLoad(int running, long waitingTokens) {
        mMissedReports = 0;
        mInCooldown = false;
        mReportedRunning = running;
        mReportedTokens = waitingTokens;
        mLocalRequestsAtReport = mLocalRequests;
        mLocalTokensAtReport = mLocalTokens;
    }

    /**
     * Records that this router sends a request to the upstream.
     *
     * @param tokens number of uncached tokens of the prompt; 0 if not relevant
     */
    public void recordStart(long tokens) {
        mLocalRequests++;
        mLocalTokens += tokens;
    }

    /**
     * Records that a request of this router has ended at the upstream.
     *
     * @param tokens same value as passed to {@link #recordStart}
     */
    public void recordEnd(long tokens) {
        mLocalRequests--;
        mLocalTokens -= tokens;
        org.troutpier.daemon.node.Invariants.check(
                mLocalRequests >= 0, "upstream-count", mDeclaration.id());
    }

    /** Returns the number of this router's requests at the upstream. */
    public int localRequests() {
        return mLocalRequests;
    }

    /**
     * Estimates the current number of requests at the upstream: the last reported number, corrected
     * by the requests of this router that started or ended since.
     */
    public int estimatedRunning() {
        return Math.max(mLocalRequests, mReportedRunning + mLocalRequests - mLocalRequestsAtReport);
    }

    /** Returns the last reported number of requests, which lags behind. */
    public int reportedRunning() {
        return mReportedRunning;
    }

    /**
     * Estimates the current number of queued tokens in the same way as {@link #estimatedRunning}.
     */
    public long estimatedTokens() {
        return Math.max(mLocalTokens, mReportedTokens + mLocalTokens - mLocalTokensAtReport);
    }

    /**
     * Predicts the duration of a prefill in nanoseconds, including the wait for tokens queued
     * before it.
     *
     * @param uncachedTokens number of tokens to compute
     */
    public double predictedPrefillNanos(long uncachedTokens) {
        return (estimatedTokens() + uncachedTokens) * mNanosPerToken;
    }

    /**
     * Updates the time per token with a completed prefill.
     *
     * @param tokens number of tokens computed, including those queued before
     * @param nanos duration
     */
    public void recordPrefill(long tokens, long nanos) {
        double measured = (double) nanos / Math.max(1, tokens);
        mNanosPerToken += SMOOTHING_FACTOR * (measured - mNanosPerToken);
    }

    /**
     * Predicts the time from a decode request to its first token in nanoseconds, including the
     * transfer of the prefill result.
     */
    public double predictedFirstStepNanos() {
        return mFirstStepNanos;
    }

    /** Updates the time to the first token of a decode. */
    public void recordFirstStep(long nanos) {
        mFirstStepNanos += SMOOTHING_FACTOR * (nanos - mFirstStepNanos);
    }

    /** Predicts the time for which a decode holds its slot, in nanoseconds. */
    public double predictedHoldNanos() {
        return mHoldNanos;
    }

    /** Updates the time for which a decode holds its slot. */
    public void recordHold(long nanos) {
        mHoldNanos += SMOOTHING_FACTOR * (nanos - mHoldNanos);
    }

    /**
     * Returns the number of leading blocks of a prompt that are reported as cached.
     *
     * @param blocks ids of the blocks, in order
     */
    public int cachedPrefixBlocks(List<Long> blocks) {
        int cached = 0;
        while (cached < blocks.size() && mCachedBlocks.contains(blocks.get(cached))) {
            cached++;
        }
        return cached;
    }

    /** Adds a block that is reported as cached, and evicts the oldest one if there are too many. */
    public void addCachedBlock(long block) {
        mCachedBlocks.add(block);
        if (mCachedBlocks.size() > MAX_CACHED_BLOCKS) {
            mCachedBlocks.remove(mCachedBlocks.iterator().next());
        }
    }

    /** Returns the number of the last cache event received. */
    public long lastEventNumber() {
        return mLastEventNumber;
    }

    /** Sets the number of the last cache event received. */
    public void setLastEventNumber(long number) {
        mLastEventNumber = number;
    }
}
