package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a request of a plain service: the answer is buffered until it is complete, then sent to
 * the caller unchanged. Confined to the traffic loop. Invariant: a request that is not repeatable
 * is sent again only if it is proved that it was not started.
 */
final class PlainExecution extends RequestExecution {

    /** The attempt in progress, or null. */
    private Attempt mAttempt;

    /** The upstream of the next attempt, at which the call is already admitted; or null. */
    private UpstreamEntry mNextUpstream;

    /** When the next call was admitted, milliseconds on the loop's clock. */
    private long mAdmittedAt;

    /** An error response of an upstream, sent to the caller if no attempt succeeds; or null. */
    private BufferedResponse mUpstreamFailure;

    PlainExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            CallerChannel caller) {
        super(context, request, route, service, caller);
    }

    /** {@inheritDoc} */
    @Override
    void start() {
        sendNext();
    }

    /** Sends the request to an upstream that has not received it. */
    private void sendNext() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (mNextUpstream == null) {
            List<UpstreamEntry> candidates = candidates();
            if (!admitNext(candidates)) {
                giveUpWithoutUpstream(candidates);
                return;
            }
        }
        UpstreamEntry upstream = mNextUpstream;
        mNextUpstream = null;
        recordDispatch(upstream, "sent");
        mAttempt = new Attempt(upstream);
        mAttempt.start();
    }

    /**
     * Selects the upstream of the next attempt and has the call admitted there.
     *
     * @param candidates the upstreams to which the request may be sent
     * @return whether one of them admits the call
     */
    private boolean admitNext(List<UpstreamEntry> candidates) {
        mNextUpstream = mContext.admission().acquireFirst(candidates, flowKey()).orElse(null);
        mAdmittedAt = mContext.loop().millis();
        return mNextUpstream != null;
    }

    /** Refunds the admission of a call that will not be sent. */
    private void releaseNext() {
        if (mNextUpstream != null) {
            mContext.admission().refund(mNextUpstream, mAdmittedAt);
            mNextUpstream = null;
        }
    }

    /** Returns the upstreams to which the request may still be sent, the least loaded first. */
    private List<UpstreamEntry> candidates() {
        return mContext.loads().byCalls(upstreams(UpstreamEntry.Role.PLAIN), excludedUpstreams());
    }

    /**
     * Gives up because no upstream admits the call.
     *
     * @param candidates the upstreams that were considered
     */
    private void giveUpWithoutUpstream(List<UpstreamEntry> candidates) {
        if (candidates.isEmpty()) {
            giveUp(
                    ResultCode.NO_UPSTREAM,
                    "no upstream is left for " + mService,
                    ServingSettings.RETRY_AFTER_MILLIS);
            return;
        }
        long limit = (long) (remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
        giveUp(
                ResultCode.UPSTREAM_RATE,
                candidates.size() + " upstreams of " + mService + refusalReason(candidates),
                mContext.admission().retryAfterMillis(candidates, limit));
    }

    /** Returns the end of the refusal's detail: why none of the upstreams admits the call. */
    private String refusalReason(List<UpstreamEntry> candidates) {
        long backOff = mContext.admission().backOffMillis(candidates);
        return backOff > 0 ? " asked for a back-off of " + backOff + " ms" : " are at their rates";
    }

    /**
     * Sends an upstream's error response if there is one, a refusal otherwise.
     *
     * @param code the code that fits the last step
     * @param retryAfterMillis when the caller should retry, milliseconds
     */
    private void giveUp(ResultCode code, String detail, long retryAfterMillis) {
        if (mUpstreamFailure != null && !isEnded()) {
            mUpstreamFailure.sendTo(mCaller);
            mTrace.markNotable();
            mTrace.addStep("status=" + mUpstreamFailure.head().status());
            finishAnswered();
            return;
        }
        refuse(code, detail, retryAfterMillis);
    }

    /** {@inheritDoc} */
    @Override
    protected void releaseUpstream() {
        releaseNext();
        if (mAttempt != null) {
            mAttempt.abort();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return mAttempt != null;
    }

    /** Decides how to continue after a failed attempt. */
    private void onAttemptFailed(UpstreamEntry upstream, AttemptEnd end) {
        recordFailure(upstream, end);
        if (end.notStarted() || mRoute.kind().repeatable()) {
            afterCrashAttribution(upstream, end, ended -> retry(upstream, end));
            return;
        }
        afterCrashAttribution(upstream, end, ended -> {});
        giveUp(end);
    }

    /** Gives up after a failed attempt. */
    private void giveUp(AttemptEnd end) {
        giveUp(end.code(), end.detail(), ServingSettings.RETRY_AFTER_MILLIS);
    }

    /** Sends the request to another upstream if that is allowed, or gives up. */
    private void retry(UpstreamEntry upstream, AttemptEnd end) {
        if (mayRetry(upstream, end)) {
            sendNext();
        } else {
            releaseNext();
            giveUp(end);
        }
    }

    /** One call to one upstream. Confined to the traffic loop. */
    private final class Attempt extends UpstreamRun {

        /** The response so far, or null before its head. */
        private BufferedResponse mResponse;

        Attempt(UpstreamEntry upstream) {
            super(PlainExecution.this.mContext, upstream);
        }

        void start() {
            mContext.loads().begin(mUpstream, 0);
            send(mRequest, UpstreamPort.RunPlan.plain(remainingMillis(), priority()));
            long silenceMillis =
                    (long) (mRoute.targetMillis() * ServingSettings.PLAIN_SILENCE_FACTOR);
            boolean canRetry =
                    mRoute.kind().repeatable()
                            && mAttempted.size() < mRoute.maxAttempts()
                            && silenceMillis + mRoute.targetMillis() < remainingMillis();
            if (canRetry) {
                startSilenceTimer(silenceMillis);
            }
        }

        /**
         * {@inheritDoc} Aborts the call and retries at another upstream, if one admits the request.
         */
        @Override
        protected void onSilence() {
            if (!admitNext(candidates())) {
                return;
            }
            abort();
            onAttemptFailed(mUpstream, AttemptEnd.lost("silent"));
        }

        /** {@inheritDoc} */
        @Override
        protected void onClosed() {
            mAttempt = null;
            mContext.loads().end(mUpstream, 0);
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(UpstreamPort.Head head) {
            mResponse = new BufferedResponse(head);
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (!mResponse.append(part)) {
                abort();
                onAttemptFailed(
                        mUpstream,
                        AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "the answer is too large"));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            close();
            UpstreamPort.Head head = mResponse.head();
            switch (head.verdict()) {
                case SUCCESS -> {
                    recordSuccess(mUpstream, "plain", elapsedMillis());
                    mContext.loads().recordPace(mUpstream, elapsedMillis());
                    mTrace.addStep("status=" + head.status());
                    markIfLate(mTrace.elapsedMillis());
                    mResponse.sendTo(mCaller);
                    finishAnswered();
                }
                case OWN_FAILURE -> {
                    mUpstreamFailure = mResponse;
                    onAttemptFailed(
                            mUpstream,
                            AttemptEnd.failed(
                                    ResultCode.UPSTREAM_FAILED, "status " + head.status()));
                }
                default -> onAttemptFailed(mUpstream, AttemptEnds.end(head));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            close();
            refundIfUnreached(end);
            onAttemptFailed(mUpstream, end);
        }
    }
}
