package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.plain.PlainCall;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a request of a plain service: the answer is buffered until it is complete, then sent to
 * the caller unchanged. Confined to the traffic loop. Invariant: a request that is not repeatable
 * is sent again only if it is proved that it was not started.
 */
final class PlainExecution extends RequestExecution implements PlainCall.Listener {

    /** The attempt in progress, or null. */
    private Attempt mAttempt;

    /** The upstream of the next attempt, at which the call is already admitted; or null. */
    private UpstreamEntry mNextUpstream;

    /** When the next call was admitted, milliseconds on the loop's clock. */
    private long mAdmittedAt;

    /** The call that was last submitted for placement, or null. */
    private PlainCall mSubmitted;

    /** The only upstream that may be sent the request again, which turned it away; or null. */
    private UpstreamEntry mOnlyUpstream;

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
        place();
    }

    /** Sends the request to an upstream that has not received it, possibly after a wait. */
    private void place() {
        if (!mContext.load().plainQueue()) {
            sendNext();
        } else if (!refuseIfQuarantined()) {
            mSubmitted = plainCall();
            mContext.plainCalls().submit(mSubmitted, this);
        }
    }

    private PlainCall plainCall() {
        return new PlainCall(
                mService,
                flowKey(),
                mTrace.elapsedMillis(),
                mRoute.targetMillis(),
                remainingMillis(),
                mRequest.body().length,
                this::candidates);
    }

    /** {@inheritDoc} */
    @Override
    public void onAdmitted(List<UpstreamEntry> upstreams) {
        if (admitNext(upstreams)) {
            sendNext();
        } else {
            giveUpWithoutUpstream(candidates());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onRefused(String detail, long retryAfterMillis) {
        giveUp(ResultCode.TARGET_OUT_OF_REACH, detail, retryAfterMillis);
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
        Optional<RequestArrivals.Arrival> arrival = mArrivals.begin();
        if (arrival.isEmpty()) {
            releaseNext();
            giveUp(
                    ResultCode.UPSTREAMS_REFUSED,
                    BUDGET_USED_UP,
                    ServingSettings.RETRY_AFTER_MILLIS);
            return;
        }
        UpstreamEntry upstream = mNextUpstream;
        mNextUpstream = null;
        recordDispatch(upstream, "sent");
        mAttempt = new Attempt(upstream);
        mAttempt.start(arrival.get());
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
        List<UpstreamEntry> upstreams = upstreams(UpstreamEntry.Role.PLAIN);
        if (mOnlyUpstream != null) {
            upstreams = upstreams.contains(mOnlyUpstream) ? List.of(mOnlyUpstream) : List.of();
            return mContext.loads().order().byCalls(upstreams, Set.of());
        }
        return mContext.loads().order().byCalls(upstreams, excludedUpstreams());
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
        if (mSubmitted != null) {
            mContext.plainCalls().cancel(mSubmitted);
        }
        if (mAttempt != null) {
            mAttempt.abort();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return mAttempt != null && mAttempt.mayHaveBeenSent();
    }

    /** Decides how to continue after a failed attempt. */
    private void onAttemptFailed(UpstreamEntry upstream, AttemptEnd end) {
        recordFailure(upstream, end);
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().recordFailure(upstream, end);
        }
        if (end.notStarted() || mRoute.kind().repeatable()) {
            afterCrashAttribution(upstream, end, 0, ended -> retry(upstream, end));
            return;
        }
        afterCrashAttribution(upstream, end, 0, ended -> {});
        giveUp(end);
    }

    /** Gives up after a failed attempt. */
    private void giveUp(AttemptEnd end) {
        giveUp(end.code(), end.detail(), ServingSettings.RETRY_AFTER_MILLIS);
    }

    /** Sends the request to another upstream if that is allowed, or gives up. */
    private void retry(UpstreamEntry upstream, AttemptEnd end) {
        if (mayRetry(upstream, end)) {
            mOnlyUpstream = null;
            place();
        } else if (mayWaitFor(upstream, end)) {
            mOnlyUpstream = upstream;
            place();
        } else {
            releaseNext();
            giveUp(end);
        }
    }

    /**
     * Returns whether the request waits for the upstream that turned it away, which does not count
     * as a further attempt.
     */
    private boolean mayWaitFor(UpstreamEntry upstream, AttemptEnd end) {
        return mContext.load().plainQueue()
                && mOnlyUpstream == null
                && end.isTurnedAway()
                && mayResend();
    }

    /** One call to one upstream. Confined to the traffic loop. */
    private final class Attempt extends UpstreamRun {

        /** The response so far, or null before its head. */
        private BufferedResponse mResponse;

        /** The calls known at the upstream when this one was sent, itself included. */
        private int mCallsThere;

        /** Whether it is too late for an answer of another upstream within the target. */
        private boolean mLate;

        Attempt(UpstreamEntry upstream) {
            super(PlainExecution.this.mContext, upstream);
        }

        void start(RequestArrivals.Arrival arrival) {
            mContext.loads().begin(mUpstream, 0);
            if (mContext.load().plainQueue()) {
                mCallsThere = mContext.loads().calls(mUpstream);
                mContext.plainCalls().begin(mService);
            }
            send(mRequest, UpstreamPort.RunPlan.plain(arrival, remainingMillis(), priority()));
            long silenceMillis =
                    (long) (mRoute.targetMillis() * ServingSettings.PLAIN_SILENCE_FACTOR);
            boolean canRetry =
                    mRoute.kind().repeatable()
                            && mAttempted.size() < mRoute.maxAttempts()
                            && silenceMillis + mRoute.targetMillis() < remainingMillis();
            if (canRetry) {
                startSilenceTimer(
                        mContext.load().plainQueue()
                                ? mContext.plainCalls().secondTryDelayMillis(plainCall())
                                : silenceMillis);
            }
        }

        /** Moves the call to another upstream if one has room and the budget allows it. */
        private void trySecond() {
            AttemptEnd end = AttemptEnd.lost("silent");
            boolean late = mLate;
            if (!mLate) {
                mLate = true;
                long silenceMillis =
                        (long) (mRoute.targetMillis() * ServingSettings.PLAIN_SILENCE_FACTOR);
                startSilenceTimer(Math.max(1, silenceMillis - elapsedMillis()));
            }
            List<UpstreamEntry> others =
                    mContext.plainCalls()
                            .secondUpstreams(mUpstream, elapsedMillis(), plainCall(), !late);
            if (!admitNext(others)) {
                return;
            }
            if (!mayRetry(mUpstream, end)) {
                releaseNext();
                return;
            }
            abort();
            if (late) {
                recordFailure(mUpstream, end);
                mContext.plainCalls().recordFailure(mUpstream, end);
                afterCrashAttribution(mUpstream, end, 0, ended -> sendNext());
            } else {
                // a slow upstream is not ejected: it would leave less room for all others
                mOutcomeTracker.recordAttemptEnd(end);
                mTrace.addStep("slow@" + mUpstream.id());
                // no crash attribution: its probe takes longer than is left of the target
                sendNext();
            }
        }

        /**
         * {@inheritDoc} Aborts the call and retries at another upstream, if one admits the request.
         */
        @Override
        protected void onSilence() {
            if (mContext.load().plainQueue()) {
                trySecond();
                return;
            }
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
            if (mContext.load().plainQueue()) {
                mContext.plainCalls().end(mService);
            }
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
                    recordSuccess(mUpstream, "plain", elapsedMillis(), head.framed());
                    recordAnswer();
                    mContext.loads().recordPace(mUpstream, upstreamMillis());
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

        private void recordAnswer() {
            if (mContext.load().plainQueue()) {
                mContext.plainCalls()
                        .recordAnswer(
                                mUpstream, upstreamMillis(), mCallsThere, mRoute.targetMillis());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            refundIfUnreached(end);
            close();
            onAttemptFailed(mUpstream, end);
        }
    }
}
