package org.troutpier.daemon.plain;

/**
 * Decides whether a silent repeatable call also goes to another upstream. Answers the load of one
 * slow upstream among others. In a burst of all, silence is the queue of the upstream, and a second
 * call would only make the others' queues longer. Immutable and thread safe.
 *
 * @param first what is known of the upstream that is silent
 * @param second what is known of the other one
 * @param expectedMillis the predicted duration of the call at the first upstream, milliseconds
 * @param answerMillis the predicted duration of the call there, milliseconds
 */
record SecondTry(
        UpstreamRoom first, UpstreamRoom second, double expectedMillis, double answerMillis) {

    /**
     * Returns whether the call also goes to the other upstream while its target can still be met.
     *
     * @param silentMillis how long the first upstream has been silent, milliseconds
     * @param remainingMillis the time until the target, milliseconds
     */
    boolean isInTime(double silentMillis, double remainingMillis) {
        return hasRoom()
                && !isFuller()
                && silentMillis >= expectedMillis
                && answerMillis <= remainingMillis;
    }

    /** Returns whether the other upstream takes the call at all, in time or late. */
    boolean hasRoom() {
        return second.free() > 0;
    }

    /** Returns whether the other upstream has more calls for each slot than the silent one. */
    private boolean isFuller() {
        long there = (long) second.calls() * first.upstream().slots();
        long here = (long) first.calls() * second.upstream().slots();
        return there > here;
    }
}
