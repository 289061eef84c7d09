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
    private UpstreamEntry mNext;

    /** When it was admitted where it goes next, milliseconds. */
    private long mAdmittedAt;

    /** An upstream's own failure, told if nothing better comes; or null. */
    private WholeAnswer mFailure;

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
        send();
    }

    /** Sends the request to an upstream that has not had it. */
    private void send() {
        if (withheld()) {
            return;
        }
        if (mNext == null) {
            List<UpstreamEntry> candidates = candidates();
            if (!findNext(candidates)) {
                giveUpUnsent(candidates);
                return;
            }
        }
        UpstreamEntry upstream = mNext;
        mNext = null;
        sent(upstream, "sent");
        mAttempt = new Attempt(upstream);
        mAttempt.begin();
    }

    /**
     * Finds where the request goes next, and has it admitted there.
     *
     * @param candidates where it may be sent
     * @return whether there is such an upstream
     */
    private boolean findNext(List<UpstreamEntry> candidates) {
        mNext = mContext.admission().acquireFirst(candidates, asker()).orElse(null);
        mAdmittedAt = mContext.loop().millis();
        return mNext != null;
    }

    /** Gives back that the request was admitted where it is not going to be sent. */
    private void forgetNext() {
        if (mNext != null) {
            mContext.admission().refund(mNext, mAdmittedAt);
            mNext = null;
        }
    }

    /**
     * Returns where the request may be sent.
     *
     * @return the upstreams that have not had it, the least loaded first
     */
    private List<UpstreamEntry> candidates() {
        return mContext.loads().byCalls(upstreams(UpstreamEntry.Role.PLAIN), excluded());
    }

    /**
     * Gives the request up that no upstream takes.
     *
     * @param candidates where it might have been sent
     */
    private void giveUpUnsent(List<UpstreamEntry> candidates) {
        if (candidates.isEmpty()) {
            giveUp(
                    ResultCode.NO_UPSTREAM,
                    "no upstream is left for " + mService,
                    ServingSettings.RETRY_AFTER_MILLIS);
            return;
        }
        long limit = (long) (leftMillis() * ServingSettings.RETURN_PART);
        giveUp(
                ResultCode.UPSTREAM_RATE,
                candidates.size() + " upstreams of " + mService + why(candidates),
                mContext.admission().retryAfterMillis(candidates, limit));
    }

    /**
     * Says why none of several upstreams takes the request.
     *
     * @param candidates the upstreams
     * @return the end of the refusal's detail
     */
    private String why(List<UpstreamEntry> candidates) {
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
        if (mFailure != null && !over()) {
            mFailure.sendTo(mCaller);
            mTrace.notable();
            mTrace.step("status=" + mFailure.head().status());
            answered();
            return;
        }
        refuse(code, detail, returnMillis);
    }

    /** {@inheritDoc} */
    @Override
    protected void stopUpstream() {
        forgetNext();
        if (mAttempt != null) {
            mAttempt.abort();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean atUpstream() {
        return mAttempt != null;
    }

    /**
     * Goes on after an attempt that failed.
     *
     * @param upstream where it was
     * @param end how it ended
     */
    private void failed(UpstreamEntry upstream, AttemptEnd end) {
        learn(upstream, end);
        if (end.notStarted() || mRoute.kind().repeatable()) {
            whenJudged(upstream, end, ended -> sendAgain(upstream, end));
            return;
        }
        whenJudged(upstream, end, ended -> {});
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
    private void sendAgain(UpstreamEntry upstream, AttemptEnd end) {
        if (mayTryAgain(upstream, end)) {
            send();
        } else {
            forgetNext();
            giveUp(end);
        }
    }

    /** One call to one upstream. Confined to the traffic loop. */
    private final class Attempt extends UpstreamRun {

        /** The answer so far, or null before its head. */
        private WholeAnswer mAnswer;

        /**
         * Creates an attempt.
         *
         * @param upstream where it goes
         */
        Attempt(UpstreamEntry upstream) {
            super(PlainExecution.this.mContext, upstream);
        }

        /** Sends the call. */
        void begin() {
            mContext.loads().begin(mUpstream, 0);
            send(mRequest, UpstreamPort.RunPlan.plain(leftMillis(), priority()));
            long silence = (long) (mRoute.targetMillis() * ServingSettings.SILENCE_PART);
            boolean another =
                    mRoute.kind().repeatable()
                            && mTried.size() < mRoute.maxAttempts()
                            && silence + mRoute.targetMillis() < leftMillis();
            if (another) {
                expectWithin(silence);
            }
        }

        /** {@inheritDoc} Another upstream is asked, if there is one. */
        @Override
        protected void silent() {
            if (!findNext(candidates())) {
                return;
            }
            abort();
            failed(mUpstream, AttemptEnd.lost("silent"));
        }

        /** {@inheritDoc} */
        @Override
        protected void closed() {
            mAttempt = null;
            mContext.loads().end(mUpstream, 0);
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(UpstreamPort.Head head) {
            mAnswer = new WholeAnswer(head);
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (!mAnswer.add(part)) {
                abort();
                failed(
                        mUpstream,
                        AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "the answer is too large"));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            close();
            UpstreamPort.Head head = mAnswer.head();
            switch (head.verdict()) {
                case SUCCESS -> {
                    succeeded(mUpstream, "plain", millis());
                    mTrace.step("status=" + head.status());
                    lateAfter(mTrace.elapsedMillis());
                    mAnswer.sendTo(mCaller);
                    answered();
                }
                case OWN_FAILURE -> {
                    mFailure = mAnswer;
                    failed(
                            mUpstream,
                            AttemptEnd.failed(
                                    ResultCode.UPSTREAM_FAILED, "status " + head.status()));
                }
                default -> failed(mUpstream, AttemptEnds.end(head));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            close();
            giveBackUnreached(end);
            failed(mUpstream, end);
        }
    }
}
