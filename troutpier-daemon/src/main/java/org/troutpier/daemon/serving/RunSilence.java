package org.troutpier.daemon.serving;

/**
 * The silence of the engine whose run is relayed, and when another engine is searched for it.
 * Confined to the traffic loop. Invariant: each silence that began is recorded as continued,
 * replaced or ended.
 */
final class RunSilence {

    /** How often the interval between two searches is doubled: up to hours. */
    private static final int MAX_DOUBLINGS = 16;

    private final ServingContext mContext;

    private final RequestTrace mTrace;

    private boolean mSilent;

    /** The searches since the silence began. */
    private int mSearches;

    /** The run whose silence was reported as a failure of its engine last, or null. */
    private StreamRun mReportedRun;

    RunSilence(ServingContext context, RequestTrace trace) {
        mContext = context;
        mTrace = trace;
    }

    /** Returns whether the engine has passed the silence limit and nothing has arrived since. */
    boolean isSilent() {
        return mSilent;
    }

    /**
     * Records that an engine has passed the silence limit. It is reported as a failure once a run.
     *
     * @param detail a description of the failure
     * @param attempt the number of the attempt, and how many are allowed
     */
    void begin(StreamRun run, long millis, String detail, String attempt) {
        if (mSilent) {
            return;
        }
        mSilent = true;
        mTrace.markNotable();
        mTrace.addStep(
                "silent@" + run.upstream().id() + " for " + millis + "ms, attempt " + attempt);
        mContext.metrics().silentRun("begun");
        if (run != mReportedRun) {
            mReportedRun = run;
            mContext.loads().failed(run.upstream(), false, detail);
        }
    }

    /**
     * Returns whether another engine is to be searched; the interval is doubled with each search.
     *
     * @param millis how long the engine has been silent
     */
    boolean isSearchDue(long millis) {
        long intervals = (1L << Math.min(mSearches, MAX_DOUBLINGS)) - 1;
        return millis
                >= ServingSettings.STREAM_SILENCE_MILLIS
                        + intervals * ServingSettings.SILENCE_CHECK_MILLIS;
    }

    /** Records that another engine is searched. */
    void recordSearch() {
        mSearches++;
    }

    /** Records that the engine goes on. */
    void recordContinued(StreamRun run, long silentMillis) {
        mTrace.addStep("continued@" + run.upstream().id() + " after " + silentMillis + "ms");
        end("continued");
    }

    /** Records that another run has taken over. */
    void recordReplaced(long silentMillis, String reason) {
        mTrace.addStep("replaced after " + silentMillis + "ms, " + reason);
        end("replaced");
    }

    /** Records that the run has ended otherwise. */
    void recordEnded() {
        end("ended");
    }

    private void end(String event) {
        if (mSilent) {
            mSilent = false;
            mSearches = 0;
            mContext.metrics().silentRun(event);
        }
    }
}
