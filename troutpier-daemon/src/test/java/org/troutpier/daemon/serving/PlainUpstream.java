package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * An upstream that works on a few calls, queues some and turns the others away. Confined to the
 * test's thread.
 */
final class PlainUpstream {

    static final int SLOTS = 6;
    static final int QUEUE = 24;
    private static final double WORK_MILLIS = 43;

    final UpstreamEntry mEntry;

    /** How many times as long as usual it works. */
    double mSlowdown = 1;

    /** The share of repeatable calls that it fails. */
    double mErrorShare;

    /** Whether it turns all calls away. */
    boolean mFull;

    boolean mLost;

    /** How often each once-only attempt was run. */
    final Map<RequestId, Integer> mRuns = new HashMap<>();

    /** Calls on which it began to work. */
    int mAccepted;

    int mTurnedAway;
    int mMostCalls;
    private final List<Run> mQueue = new ArrayList<>();
    private final ManualClock mTime;
    private final Random mRandom;
    private int mBusy;

    PlainUpstream(String id, String hall, ManualClock time, Random random) {
        mTime = time;
        mRandom = random;
        UpstreamEntry entry = TestUpstreams.plain(id, hall);
        mEntry =
                new UpstreamEntry(
                        UpstreamIncarnation.of(id),
                        entry.service(),
                        entry.address(),
                        entry.hall(),
                        SLOTS,
                        entry.role(),
                        false);
    }

    void accept(Run run) {
        mMostCalls = Math.max(mMostCalls, mBusy + mQueue.size());
        if (mLost) {
            run.answer(() -> run.mListener.onFailure(AttemptEnd.unreached("refused")));
        } else if (mBusy < SLOTS && !mFull) {
            work(run);
        } else if (mQueue.size() < QUEUE && !mFull) {
            mQueue.add(run);
        } else {
            mTurnedAway++;
            run.end(UpstreamPort.Verdict.NOT_STARTED, 503);
        }
    }

    private void work(Run run) {
        mBusy++;
        mAccepted++;
        run.mStarted = true;
        if (!run.mRepeatable) {
            mRuns.merge(run.mRequest, 1, Integer::sum);
        }
        double work = WORK_MILLIS * mSlowdown * (0.5 + mRandom.nextDouble());
        mTime.loop().schedule(() -> run.complete(mRandom.nextDouble()), (long) work);
    }

    private void release() {
        mBusy--;
        if (!mQueue.isEmpty()) {
            work(mQueue.remove(0));
        }
    }

    /** A call at this upstream. */
    final class Run implements UpstreamPort.Call {

        private final RequestId mRequest;
        private final boolean mRepeatable;
        private final UpstreamPort.RunListener mListener;

        /** How long a packet and its answer wait at the router, milliseconds. */
        private final long mRoundTripMillis;

        private boolean mStarted;
        private boolean mDone;
        private boolean mAborted;

        Run(RequestId request, UpstreamPort.RunListener listener, long roundTripMillis) {
            mRoundTripMillis = roundTripMillis;
            mRequest = request;
            mRepeatable = request.value().startsWith(PlainFleet.REPEATABLE_PREFIX);
            mListener = listener;
        }

        void complete(double draw) {
            if (mDone) {
                return;
            }
            mDone = true;
            PlainUpstream.this.release();
            boolean failed = mRepeatable && draw < mErrorShare;
            end(
                    failed ? UpstreamPort.Verdict.OWN_FAILURE : UpstreamPort.Verdict.SUCCESS,
                    failed ? 500 : 200);
        }

        void end(UpstreamPort.Verdict verdict, int status) {
            answer(
                    () -> {
                        UpstreamPort.Head head =
                                new UpstreamPort.Head(
                                        status, new DefaultHttpHeaders(), verdict, true);
                        mListener.onHead(head);
                        mListener.onEnd();
                    });
        }

        private void answer(Runnable action) {
            mTime.loop()
                    .schedule(
                            () -> {
                                if (!mAborted) {
                                    action.run();
                                }
                            },
                            2 + mRoundTripMillis / 2);
        }

        @Override
        public void abort() {
            mAborted = true;
            if (mStarted && !mDone) {
                mDone = true;
                PlainUpstream.this.release();
            }
            mQueue.remove(this);
        }

        @Override
        public void setAutoRead(boolean on) {}

        @Override
        public long connectMillis() {
            return mRoundTripMillis;
        }
    }
}
