package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;

/**
 * Engines that write streams of two events. The first run pauses once; each further run is answered
 * without a pause. Confined to the test's thread.
 */
final class PausingEngines extends FakePort {

    /** The stream that a caller is to receive. */
    static final String WHOLE = event(1) + event(2);

    /** Where the first run pauses. */
    enum Pause {
        BEFORE_THE_HEAD,
        AFTER_THE_HEAD,
        AFTER_THE_FIRST_EVENT
    }

    private static final long STEP_MILLIS = 10;

    private final ManualClock mTime;

    private final Pause mPause;

    private final long mPauseMillis;

    /** Whether each further run is refused as not started. */
    boolean mRefusesFurtherRuns;

    PausingEngines(ManualClock time, Pause pause, long pauseMillis) {
        mTime = time;
        mPause = pause;
        mPauseMillis = pauseMillis;
    }

    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        super.run(upstream, request, plan, listener);
        Sent sent = mRuns.get(mRuns.size() - 1);
        boolean first = mRuns.size() == 1;
        if (!first && mRefusesFurtherRuns) {
            at(STEP_MILLIS, sent, () -> answer(sent, 503, Verdict.NOT_STARTED));
            return sent;
        }
        long headAt = STEP_MILLIS + (first ? pauseBefore(Pause.BEFORE_THE_HEAD) : 0);
        long eventAt = headAt + STEP_MILLIS + (first ? pauseBefore(Pause.AFTER_THE_HEAD) : 0);
        long endAt = eventAt + STEP_MILLIS + (first ? pauseBefore(Pause.AFTER_THE_FIRST_EVENT) : 0);
        at(headAt, sent, () -> listener.onHead(head(200, Verdict.SUCCESS)));
        long last = plan.resumeAfter().orElse(0);
        if (last == 0) {
            at(eventAt, sent, () -> listener.onPart(bytes(event(1))));
        }
        at(endAt, sent, () -> listener.onPart(bytes(event(2))));
        at(endAt, sent, listener::onEnd);
        return sent;
    }

    private long pauseBefore(Pause place) {
        return mPause == place ? mPauseMillis : 0;
    }

    private void at(long millis, Sent sent, Runnable action) {
        mTime.loop()
                .schedule(
                        () -> {
                            if (!sent.mAborted) {
                                action.run();
                            }
                        },
                        millis);
    }

    private static void answer(Sent sent, int status, Verdict verdict) {
        sent.mListener.onHead(head(status, verdict));
        sent.mListener.onEnd();
    }

    private static Head head(int status, Verdict verdict) {
        return new Head(status, new DefaultHttpHeaders(), verdict, true);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
