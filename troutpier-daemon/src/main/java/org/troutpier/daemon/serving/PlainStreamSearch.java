package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.plain.PlainCall;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Finds the upstream of a service without engines for the next run of a stream, by the calls that
 * each one has in flight. Confined to the traffic loop. Invariant: a call that is admitted is sent
 * or refunded.
 */
final class PlainStreamSearch implements StreamSearch {

    private final StreamExecution mExecution;

    private final ServingContext mContext;

    private final StreamUpstreams mUpstreams;

    private final Listener mListener;

    /** The call that was last submitted for placement, or null. */
    private PlainCall mSubmitted;

    /** The upstream at which the next run is admitted, or null. */
    private UpstreamEntry mAdmitted;

    /** When the next run was admitted, milliseconds on the loop's clock. */
    private long mAdmittedAt;

    /**
     * When the current wait began, milliseconds since the request arrived: 0 before the stream was
     * started, then the time at which the search for another run began.
     */
    private long mWaitStart;

    private long mRetryAfterMillis = ServingSettings.RETRY_AFTER_MILLIS;

    PlainStreamSearch(StreamExecution execution, StreamUpstreams upstreams, Listener listener) {
        mExecution = execution;
        mContext = execution.mContext;
        mUpstreams = upstreams;
        mListener = listener;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<StreamUpstreams.Obstacle> obstacle() {
        return Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void begin() {
        mRetryAfterMillis = ServingSettings.RETRY_AFTER_MILLIS;
        Optional<StreamUpstreams.Obstacle> obstacle = mUpstreams.obstacle(ResultCode.NO_UPSTREAM);
        if (obstacle.isPresent()) {
            mListener.onNotFound(obstacle.get().code(), obstacle.get().detail());
        } else if (mContext.load().plainQueue()) {
            mSubmitted =
                    new PlainCall(
                            mExecution.mService,
                            mExecution.flowKey(),
                            mExecution.trace().elapsedMillis() - mWaitStart,
                            mExecution.mRoute.targetMillis(),
                            mExecution.remainingMillis(),
                            mExecution.mRequest.body().length,
                            this::candidates);
            mContext.plainCalls().submit(mSubmitted, new PlacementListener());
        } else {
            send(candidates());
        }
    }

    /** Returns the upstreams to which the request may still be sent, the least loaded first. */
    private List<UpstreamEntry> candidates() {
        return mContext.loads().order().byCalls(mUpstreams.all(), mExecution.excludedUpstreams());
    }

    private void send(List<UpstreamEntry> upstreams) {
        if (mExecution.refuseIfQuarantined()) {
            return;
        }
        mAdmitted = mContext.admission().acquireFirst(upstreams, mExecution.flowKey()).orElse(null);
        mAdmittedAt = mContext.loop().millis();
        if (mAdmitted != null) {
            mListener.onReady(mAdmitted, Optional.empty());
            return;
        }
        Optional<StreamUpstreams.Obstacle> obstacle = mUpstreams.obstacle(ResultCode.NO_UPSTREAM);
        if (obstacle.isPresent()) {
            mListener.onNotFound(obstacle.get().code(), obstacle.get().detail());
            return;
        }
        long limit = (long) (mExecution.remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
        mRetryAfterMillis = mContext.admission().retryAfterMillis(candidates(), limit);
        mListener.onNotFound(
                ResultCode.UPSTREAM_RATE,
                "upstreams of " + mExecution.mService + " are at their rates or in a back-off");
    }

    /** {@inheritDoc} */
    @Override
    public void beginAgain() {
        mWaitStart = mExecution.isStreaming() ? mExecution.trace().elapsedMillis() : 0;
        begin();
    }

    /** {@inheritDoc} */
    @Override
    public boolean recordLoss(UpstreamEntry upstream, AttemptEnd end) {
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public void beginAtResumeTarget(AttemptEnd end) {
        beginAgain();
    }

    /** {@inheritDoc} */
    @Override
    public void recordFailure(UpstreamEntry upstream, AttemptEnd end) {
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().recordFailure(upstream, end);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void keep(UpstreamPort.StoredPrompt prompt) {}

    /** {@inheritDoc} */
    @Override
    public UpstreamPort.RunPlan reserved(UpstreamPort.RunPlan plan) {
        return plan;
    }

    /** {@inheritDoc} */
    @Override
    public Usage takeUsage() {
        UpstreamEntry upstream = mAdmitted;
        mAdmitted = null;
        mContext.loads().begin(upstream, 0);
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().begin(upstream.service());
        }
        return new CallUsage(upstream);
    }

    /** {@inheritDoc} */
    @Override
    public void recordFirstEvent(UpstreamEntry upstream, long millis) {
        if (mContext.load().plainQueue()) {
            mContext.plainCalls()
                    .recordFirstEvent(upstream, millis, mExecution.mRoute.targetMillis());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recordCompletion(long events, long millis) {}

    /** {@inheritDoc} */
    @Override
    public long recordRefusal() {
        return mRetryAfterMillis;
    }

    /** {@inheritDoc} */
    @Override
    public void release() {
        if (mSubmitted != null) {
            mContext.plainCalls().cancel(mSubmitted);
            mSubmitted = null;
        }
        if (mAdmitted != null) {
            mContext.admission().refund(mAdmitted, mAdmittedAt);
            mAdmitted = null;
        }
    }

    /** Receives where a run may be placed. Confined to the traffic loop. */
    private final class PlacementListener implements PlainCall.Listener {

        /** {@inheritDoc} */
        @Override
        public void onAdmitted(List<UpstreamEntry> upstreams) {
            send(upstreams);
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail, long retryAfterMillis) {
            mRetryAfterMillis = retryAfterMillis;
            mListener.onNotFound(ResultCode.TARGET_OUT_OF_REACH, detail);
        }
    }

    /** One call in flight. Confined to the traffic loop. */
    private final class CallUsage implements Usage {

        private final UpstreamEntry mUpstream;

        CallUsage(UpstreamEntry upstream) {
            mUpstream = upstream;
        }

        /** {@inheritDoc} */
        @Override
        public void grow(long events) {}

        /** {@inheritDoc} */
        @Override
        public void free() {
            mContext.loads().end(mUpstream, 0);
            if (mContext.load().plainQueue()) {
                mContext.plainCalls().end(mUpstream.service());
            }
        }
    }
}
