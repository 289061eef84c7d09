package org.troutpier.daemon.serving;

/**
 * The last complete answer of an upstream that is no success, which a caller gets unchanged if no
 * run succeeds. Confined to the traffic loop.
 */
final class UpstreamFailure {

    private BufferedResponse mAnswer;

    /** Records an answer in place of the one before. */
    void record(BufferedResponse answer) {
        mAnswer = answer;
    }

    /** Returns whether there is an answer. */
    boolean isPresent() {
        return mAnswer != null;
    }

    /** Sends the answer to the caller. */
    void sendTo(CallerChannel caller, RequestTrace trace) {
        trace.markNotable();
        trace.addStep("status=" + mAnswer.head().status());
        mAnswer.sendTo(caller);
    }
}
