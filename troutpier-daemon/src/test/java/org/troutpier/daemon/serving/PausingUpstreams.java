package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Upstreams of a plain service. The first call is answered after a pause; each further one as the
 * test says. Confined to the test's thread.
 */
final class PausingUpstreams extends FakePort {

    /** What becomes of a further call. */
    enum Further {
        ANSWERED,
        REFUSED,
        LOST,
        LOST_WITHIN_THE_BODY,
        UNREACHED,
        RECEIVED_BY_ANOTHER_UPSTREAM,
        FAILED,
        TOO_LARGE,
        NEVER_ANSWERED
    }

    /** Marks a pause that does not end. */
    static final long FOREVER = Long.MAX_VALUE / 2;

    private static final long STEP_MILLIS = 10;

    private final ManualClock mTime;

    /** The pause before the head of the first answer. */
    long mPauseMillis;

    /** The pause between the head and the body of the first answer. */
    long mBodyPauseMillis;

    Further mFurther = Further.ANSWERED;

    PausingUpstreams(ManualClock time) {
        mTime = time;
    }

    @Override
    public Call run(
            UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener) {
        super.run(upstream, request, plan, listener);
        Sent sent = mRuns.get(mRuns.size() - 1);
        if (mRuns.size() == 1) {
            long headAt = STEP_MILLIS + mPauseMillis;
            at(headAt, sent, () -> begin(sent, 200, Verdict.SUCCESS));
            at(headAt + mBodyPauseMillis, sent, () -> end(sent));
        } else {
            Further further = mFurther;
            at(STEP_MILLIS, sent, () -> play(further, sent));
        }
        return sent;
    }

    private static void play(Further further, Sent sent) {
        switch (further) {
            case ANSWERED -> answer(sent, 200, Verdict.SUCCESS);
            case REFUSED -> answer(sent, 503, Verdict.NOT_STARTED);
            case LOST -> sent.mListener.onFailure(AttemptEnd.lost("reset"));
            case LOST_WITHIN_THE_BODY -> {
                begin(sent, 200, Verdict.SUCCESS);
                sent.mListener.onFailure(AttemptEnd.lost("reset"));
            }
            case UNREACHED -> sent.mListener.onFailure(AttemptEnd.unreached("refused"));
            case RECEIVED_BY_ANOTHER_UPSTREAM -> answer(sent, 421, Verdict.OTHER_UPSTREAM);
            case FAILED -> answer(sent, 500, Verdict.OWN_FAILURE);
            case TOO_LARGE ->
                    sent.mListener.onFailure(
                            AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "too large"));
            default -> {}
        }
    }

    static void answer(Sent sent, int status, Verdict verdict) {
        begin(sent, status, verdict);
        end(sent);
    }

    private static void begin(Sent sent, int status, Verdict verdict) {
        sent.mListener.onHead(new Head(status, new DefaultHttpHeaders(), verdict, true));
        part(sent, "whole answer of ");
    }

    private static void end(Sent sent) {
        part(sent, sent.mUpstream.id().value());
        sent.mListener.onEnd();
    }

    private static void part(Sent sent, String text) {
        sent.mListener.onPart(text.getBytes(StandardCharsets.UTF_8));
    }

    private void at(long millis, Sent sent, Runnable action) {
        if (millis < FOREVER) {
            mTime.loop()
                    .schedule(
                            () -> {
                                if (!sent.mAborted) {
                                    action.run();
                                }
                            },
                            millis);
        }
    }
}
