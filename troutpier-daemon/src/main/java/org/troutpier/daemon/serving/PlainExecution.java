package org.troutpier.daemon.serving;

import java.util.Optional;
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
        Optional<UpstreamEntry> upstream =
                mContext.loads().pick(upstreams(UpstreamEntry.Role.PLAIN), excluded());
        if (upstream.isEmpty()) {
            giveUp(ResultCode.NO_UPSTREAM, "no upstream is left for " + mService);
            return;
        }
        sent(upstream.get(), "sent");
        mAttempt = new Attempt(upstream.get());
        mAttempt.begin();
    }

    /**
     * Tells the best that is known: an upstream's own failure, or a refusal.
     *
     * @param code the code that fits the last step
     * @param detail what exactly
     */
    private void giveUp(ResultCode code, String detail) {
        if (mFailure != null && !over()) {
            mFailure.sendTo(mCaller);
            mTrace.notable();
            mTrace.step("status=" + mFailure.head().status());
            answered();
            return;
        }
        refuse(code, detail, ServingSettings.RETRY_AFTER_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    protected void stopUpstream() {
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
        giveUp(end.code(), end.detail());
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
            giveUp(end.code(), end.detail());
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
            if (mContext.loads().pick(upstreams(UpstreamEntry.Role.PLAIN), excluded()).isEmpty()) {
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
                default -> failed(mUpstream, Verdicts.end(head));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            close();
            failed(mUpstream, end);
        }
    }
}
