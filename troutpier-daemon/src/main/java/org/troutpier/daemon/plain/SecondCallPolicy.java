package org.troutpier.daemon.plain;

/**
 * Decides whether a request is sent to a second upstream beside one that is silent. Answers the
 * load of upstreams that pause for up to a few seconds before an answer or within it and then go
 * on, beside others that are full, refuse calls, or never answer. Until it ends, a pause looks like
 * a loss; silence therefore only permits a second call and ends none. Immutable and thread safe.
 *
 * @param repeatable whether the request may be run more than once
 * @param maxAttempts the most upstreams that may be sent the request
 * @param targetMillis the target latency of the answer, milliseconds
 * @param silenceMillis the time after its sending from which on a call counts as silent, whether or
 *     not another one can be answered in time, milliseconds
 */
public record SecondCallPolicy(
        boolean repeatable, int maxAttempts, long targetMillis, long silenceMillis) {

    /** The most calls of one request that are in progress at a time. */
    private static final int MAX_CALLS = 2;

    /** Whether a second call may be sent, or why not. */
    public enum Verdict {
        /** It may be sent to an upstream that was not sent the request. */
        FURTHER_UPSTREAM("allowed"),
        /** It may be sent to the upstream that turned the request away. */
        SAME_UPSTREAM("allowed where turned away"),
        /** Two calls are in progress. */
        IN_PROGRESS("two in progress"),
        /** All attempts are used up. */
        NO_ATTEMPT("attempts used up"),
        /** Another upstream is unlikely to answer before the deadline. */
        NO_TIME("too little time");

        private final String mDetail;

        Verdict(String detail) {
            mDetail = detail;
        }

        /** Returns the reason in words. */
        public String detail() {
            return mDetail;
        }

        /** Returns whether a second call may be sent. */
        public boolean allowed() {
            return this == FURTHER_UPSTREAM || this == SAME_UPSTREAM;
        }
    }

    /**
     * What is known of a request. Immutable and thread safe.
     *
     * @param calls the calls in progress
     * @param attempts the upstreams that were sent the request and may have received it
     * @param mayMissAnother whether another upstream may be found unreachable or replaced
     * @param turnedAway whether an upstream turned the request away and was not sent it again
     * @param remainingMillis the time until the deadline, milliseconds
     */
    public record Progress(
            int calls,
            int attempts,
            boolean mayMissAnother,
            boolean turnedAway,
            long remainingMillis) {}

    /** Returns whether a second call may be sent now. */
    public Verdict decide(Progress progress) {
        if (progress.calls() >= MAX_CALLS) {
            return Verdict.IN_PROGRESS;
        }
        if (progress.remainingMillis() <= targetMillis) {
            return Verdict.NO_TIME;
        }
        if (progress.attempts() < maxAttempts && progress.mayMissAnother()) {
            return Verdict.FURTHER_UPSTREAM;
        }
        return progress.turnedAway() ? Verdict.SAME_UPSTREAM : Verdict.NO_ATTEMPT;
    }

    /**
     * Returns whether silence is watched for in a call that is sent now: a second one is allowed,
     * and has the time of a whole target after the limit.
     *
     * @param remainingMillis the time until the deadline, milliseconds
     */
    public boolean watches(long remainingMillis) {
        return repeatable && maxAttempts > 1 && silenceMillis + targetMillis < remainingMillis;
    }

    /**
     * Returns whether a call has passed the silence limit. Before, a second call is only worthwhile
     * where it is answered in time.
     *
     * @param sentMillis the time since it was sent, milliseconds
     */
    public boolean isPastLimit(long sentMillis) {
        return sentMillis >= silenceMillis;
    }

    /**
     * Returns when to consider a second call again. Past the limit the answer is late anyway, so
     * the interval grows with the silence: a long time-out has a bounded number of checks, and
     * their reasons fit the log line.
     *
     * @param sentMillis the time since the silent call was sent, milliseconds
     * @return milliseconds from now, at least 1
     */
    public long nextCheckMillis(long sentMillis) {
        return isPastLimit(sentMillis)
                ? Math.max(Math.max(1, targetMillis), sentMillis / 2)
                : silenceMillis - sentMillis;
    }
}
