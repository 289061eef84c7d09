package org.troutpier.daemon.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.troutpier.common.declaration.UpstreamDeclaration;

/**
 * What this router knows of one upstream. Confined to the control thread. Invariant: the count of
 * this router's own requests there never falls below zero.
 */
public final class UpstreamState {

    /** How many prefix blocks are remembered. */
    private static final int MAX_CACHED_BLOCKS = 20_000;

    /** How long an upstream that failed is passed over, nanoseconds. */
    private static final long COOLDOWN_NANOS = 1_000_000_000L;

    /** How many silences in a row mean that it is not to be reached. */
    private static final int MISSED_REPORTS_LIMIT = 2;

    /** How much a new measurement moves an average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** What is declared of it. */
    private UpstreamDeclaration mDeclaration;

    /** Whether it said or was said to be leaving. */
    private boolean mLeaving;

    /** Until when it is passed over after a failure. */
    private long mCooldownUntil;

    /** Whether it was passed over and has not answered since, so that the time above counts. */
    private boolean mInCooldown;

    /** How often in a row it did not say how loaded it is. */
    private int mMissedReports;

    /** How many of this router's requests are there. */
    private int mLocalRequests;

    /** How many of this router's tokens wait or run there, for a prefill engine. */
    private long mLocalTokens;

    /** How many requests it published to have. */
    private int mReportedRunning;

    /** How many tokens it published to have waiting. */
    private long mReportedTokens;

    /** How many of this router's requests were there when it published. */
    private int mLocalRequestsAtReport;

    /** How many of this router's tokens were there when it published. */
    private long mLocalTokensAtReport;

    /** Nanoseconds per uncached token, as measured. */
    private double mNanosPerToken;

    /** Nanoseconds from the decode request to its first token, as measured. */
    private double mFirstStepNanos;

    /** How long a decode holds its slot, as measured, nanoseconds. */
    private double mHoldNanos;

    /** The prefix blocks that it is said to have cached, oldest first. */
    private final Set<Long> mCachedBlocks = new LinkedHashSet<>();

    /** The number of the last cache event seen. */
    private long mLastEventNumber;

    /**
     * Creates the state of an upstream of which nothing is known but its declaration.
     *
     * @param declared what is declared of it
     */
    public UpstreamState(UpstreamDeclaration declaration) {
        mDeclaration = declaration;
        final double nanosPerSecond = 1e9;
        final double initialFirstStepNanos = 50e6;
        mNanosPerToken = nanosPerSecond / declaration.prefillTokensPerSecond();
        mFirstStepNanos = initialFirstStepNanos;
        mHoldNanos = nanosPerSecond;
    }

    /**
     * Returns what is declared of it.
     *
     * @return the declaration
     */
    public UpstreamDeclaration declaration() {
        return mDeclaration;
    }

    /**
     * Takes a new declaration.
     *
     * @param declared what is declared now
     */
    public void setDeclaration(UpstreamDeclaration declaration) {
        mDeclaration = declaration;
    }

    /**
     * Returns whether new work may be sent there.
     *
     * @param now the time
     * @return whether it is in service, not leaving, and did not fail a moment ago
     */
    public boolean isUsable(long now) {
        boolean inCooldown = mInCooldown && now - mCooldownUntil < 0;
        return !mDeclaration.draining() && !mLeaving && !inCooldown;
    }

    /**
     * Takes note that a connection to it was not to be had: it is passed over for a while, or until
     * it answers again.
     *
     * @param now the time
     */
    public void recordUnreachable(long now) {
        mInCooldown = true;
        mCooldownUntil = now + COOLDOWN_NANOS;
    }

    /**
     * Takes note that it did not say how loaded it is. One silence may be this router's own; after
     * several in a row it is passed over.
     *
     * @param now the time
     */
    public void recordMissedReport(long now) {
        mMissedReports++;
        if (mMissedReports >= MISSED_REPORTS_LIMIT) {
            recordUnreachable(now);
        }
    }

    /**
     * Takes note of whether it is leaving.
     *
     * @param leaving whether it is
     */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /**
     * Returns whether it is leaving.
     *
     * @return whether it is
     */
    public boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Takes note of a published load.
     *
     * @param running how many requests it has
     * @param waitingTokens how many tokens it has waiting
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
     * Takes note that a request of this router goes there.
     *
     * @param tokens how many uncached tokens it brings, 0 where that does not matter
     */
    public void recordStart(long tokens) {
        mLocalRequests++;
        mLocalTokens += tokens;
    }

    /**
     * Takes note that a request of this router has left.
     *
     * @param tokens as when it entered
     */
    public void recordEnd(long tokens) {
        mLocalRequests--;
        mLocalTokens -= tokens;
        org.troutpier.daemon.node.Invariants.check(
                mLocalRequests >= 0, "upstream-count", mDeclaration.id());
    }

    /**
     * Returns how many of this router's requests are there.
     *
     * @return the count
     */
    public int localRequests() {
        return mLocalRequests;
    }

    /**
     * Guesses how many requests are there now: the published number, corrected by what this router
     * has sent and got back since.
     *
     * @return the guess
     */
    public int estimatedRunning() {
        return Math.max(mLocalRequests, mReportedRunning + mLocalRequests - mLocalRequestsAtReport);
    }

    /**
     * Returns the published number of requests.
     *
     * @return the number, late
     */
    public int reportedRunning() {
        return mReportedRunning;
    }

    /**
     * Guesses how many tokens wait there now.
     *
     * @return the guess
     */
    public long estimatedTokens() {
        return Math.max(mLocalTokens, mReportedTokens + mLocalTokens - mLocalTokensAtReport);
    }

    /**
     * Predicts how long a prefill takes there.
     *
     * @param uncachedTokens how many tokens must be computed
     * @return nanoseconds, with the wait for those before it
     */
    public double predictedPrefillNanos(long uncachedTokens) {
        return (estimatedTokens() + uncachedTokens) * mNanosPerToken;
    }

    /**
     * Learns from a prefill.
     *
     * @param tokens how many tokens were computed or waited for
     * @param nanos how long that took
     */
    public void recordPrefill(long tokens, long nanos) {
        double measured = (double) nanos / Math.max(1, tokens);
        mNanosPerToken += SMOOTHING_FACTOR * (measured - mNanosPerToken);
    }

    /**
     * Predicts the time from a decode request to its first token, transfer included.
     *
     * @return nanoseconds
     */
    public double predictedFirstStepNanos() {
        return mFirstStepNanos;
    }

    /**
     * Learns from a decode's first token.
     *
     * @param nanos how long it took
     */
    public void recordFirstStep(long nanos) {
        mFirstStepNanos += SMOOTHING_FACTOR * (nanos - mFirstStepNanos);
    }

    /**
     * Predicts how long a decode holds its slot.
     *
     * @return nanoseconds
     */
    public double predictedHoldNanos() {
        return mHoldNanos;
    }

    /**
     * Learns from a decode that has ended.
     *
     * @param nanos how long it held its slot
     */
    public void recordHold(long nanos) {
        mHoldNanos += SMOOTHING_FACTOR * (nanos - mHoldNanos);
    }

    /**
     * Counts the leading blocks that are said to be cached.
     *
     * @param blocks a prompt's blocks, in order
     * @return how many of the first ones are there
     */
    public int cachedPrefixBlocks(List<Long> blocks) {
        int cached = 0;
        while (cached < blocks.size() && mCachedBlocks.contains(blocks.get(cached))) {
            cached++;
        }
        return cached;
    }

    /**
     * Takes note of a cached block.
     *
     * @param block the block's name
     */
    public void addCachedBlock(long block) {
        mCachedBlocks.add(block);
        if (mCachedBlocks.size() > MAX_CACHED_BLOCKS) {
            mCachedBlocks.remove(mCachedBlocks.iterator().next());
        }
    }

    /**
     * Returns the number of the last cache event seen.
     *
     * @return the number
     */
    public long lastEventNumber() {
        return mLastEventNumber;
    }

    /**
     * Takes note of the last cache event seen.
     *
     * @param number its number
     */
    public void setLastEventNumber(long number) {
        mLastEventNumber = number;
    }
}
