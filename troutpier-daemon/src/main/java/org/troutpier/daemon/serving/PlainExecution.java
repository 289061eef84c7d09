package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a request of a plain service: the whole answer is gathered, then handed on unchanged.
 * Confined to the traffic loop. Invariant: a request that may not be repeated is sent again only
 * after proof that it was not started.
 */
final class PlainExecution extends RequestExecution {

    /** The attempt under way, or null. */
    private Attempt mAttempt;

    /** Where the request goes next, admitted there already; or null where that is not known. */
    private UpstreamEntry mNextUpstream;

    /** When it was admitted where it goes next, milliseconds. */
    private long mAdmittedAt;

    /** An upstream's own failure, told if nothing better comes; or null. */
    private BufferedResponse mUpstreamFailure;

    /**
     * Creates an execution.
     *
     * @param context the collaborators
     * @param request the request
     * @param route its route
     * @param service the service that was chosen among the route's
     * @param caller the way to answer
     */
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

    /** Sends the request to an upstream that has not had it. */
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
     * Finds where the request goes next, and has it admitted there.
     *
     * @param candidates where it may be sent
     * @return whether there is such an upstream
     */
    private boolean admitNext(List<UpstreamEntry> candidates) {
        mNextUpstream = mContext.admission().acquireFirst(candidates, flowKey()).orElse(null);
        mAdmittedAt = mContext.loop().millis();
        return mNextUpstream != null;
    }

    /** Gives back that the request was admitted where it is not going to be sent. */
    private void releaseNext() {
        if (mNextUpstream != null) {
            mContext.admission().refund(mNextUpstream, mAdmittedAt);
            mNextUpstream = null;
        }
    }

    /**
     * Returns where the request may be sent.
     *
     * @return the upstreams that have not had it, the least loaded first
     */
    private List<UpstreamEntry> candidates() {
        return mContext.loads().byCalls(upstreams(UpstreamEntry.Role.PLAIN), excludedUpstreams());
    }

    /**
     * Gives the request up that no upstream takes.
     *
     * @param candidates where it might have been sent
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

    /**
     * Says why none of several upstreams takes the request.
     *
     * @param candidates the upstreams
     * @return the end of the refusal's detail
     */
    private String refusalReason(List<UpstreamEntry> candidates) {
        long backOff = mContext.admission().backOffMillis(candidates);
        return backOff > 0 ? " asked for a back-off of " + backOff + " ms" : " are at their rates";
    }

    /**
     * Tells the best that is known: an upstream's own failure, or a refusal.
     *
     * @param code the code that fits the last step
     * @param detail what exactly
     * @param returnMillis when to come back, milliseconds
     */
    private void giveUp(ResultCode code, String detail, long returnMillis) {
        if (mUpstreamFailure != null && !isEnded()) {
            mUpstreamFailure.sendTo(mCaller);
            mTrace.markNotable();
            mTrace.addStep("status=" + mUpstreamFailure.head().status());
            finishAnswered();
            return;
        }
        refuse(code, detail, returnMillis);
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

    /**
     * Goes on after an attempt that failed.
     *
     * @param upstream where it was
     * @param end how it ended
     */
    private void onAttemptFailed(UpstreamEntry upstream, AttemptEnd end) {
        recordFailure(upstream, end);
        if (end.notStarted() || mRoute.kind().repeatable()) {
            afterCrashAttribution(upstream, end, ended -> retry(upstream, end));
            return;
        }
        afterCrashAttribution(upstream, end, ended -> {});
        giveUp(end);
    }

    /**
     * Tells the best that is known after an attempt that failed.
     *
     * @param end how it ended
     */
    private void giveUp(AttemptEnd end) {
        giveUp(end.code(), end.detail(), ServingSettings.RETRY_AFTER_MILLIS);
    }

    /**
     * Sends the request again, if it may be.
     *
     * @param upstream where it was
     * @param end how it ended
     */
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

        /** The answer so far, or null before its head. */
        private BufferedResponse mResponse;

        /**
         * Creates an attempt.
         *
         * @param upstream where it goes
         */
        Attempt(UpstreamEntry upstream) {
            super(PlainExecution.this.mContext, upstream);
        }

        /** Sends the call. */
        void start() {
            mContext.loads().begin(mUpstream, 0);
            send(mRequest, UpstreamPort.RunPlan.plain(remainingMillis(), priority()));
            long silence = (long) (mRoute.targetMillis() * ServingSettings.PLAIN_SILENCE_FACTOR);
            boolean another =
                    mRoute.kind().repeatable()
                            && mAttempted.size() < mRoute.maxAttempts()
                            && silence + mRoute.targetMillis() < remainingMillis();
            if (another) {
                startSilenceTimer(silence);
            }
        }

        /** {@inheritDoc} Another upstream is asked, if there is one. */
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
