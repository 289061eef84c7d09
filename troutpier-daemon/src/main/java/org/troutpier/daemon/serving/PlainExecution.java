package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.plain.PlainCall;
import org.troutpier.daemon.plain.SecondCallPolicy;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a request of a plain service: the answer is buffered until it is complete, then sent to
 * the caller unchanged. While an upstream is silent, the request may also be sent to a second one;
 * the first complete success is the answer. Confined to the traffic loop. Invariants: a request
 * that is not repeatable is sent again only if it is proved that it was not started; a call is
 * aborted only once another one was answered or the request ends; a failed call decides nothing
 * while another one is in progress.
 */
final class PlainExecution extends RequestExecution
        implements PlainCall.Listener, PlainAttempt.Listener {

    private final SecondCall mSecondCall;

    /** The calls in progress, the first one first. */
    private final List<PlainAttempt> mAttempts = new ArrayList<>(2);

    /** Lost calls of which it is not known yet whether their upstream crashed. */
    private int mPendingAttributions;

    /** The upstream of the next attempt, at which the call is already admitted; or null. */
    private UpstreamEntry mNextUpstream;

    /** When the next call was admitted, milliseconds on the loop's clock. */
    private long mAdmittedAt;

    /** The call that was last submitted for placement, or null. */
    private PlainCall mSubmitted;

    /** The only upstream that may be sent the request again, which turned it away; or null. */
    private UpstreamEntry mOnlyUpstream;

    private final UpstreamFailure mUpstreamFailure = new UpstreamFailure();

    PlainExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            CallerChannel caller) {
        super(context, request, route, service, caller);
        mSecondCall =
                new SecondCall(
                        this,
                        new SecondCallPolicy(
                                route.kind().repeatable(),
                                route.maxAttempts(),
                                route.targetMillis(),
                                (long)
                                        (route.targetMillis()
                                                * ServingSettings.PLAIN_SILENCE_FACTOR)));
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
            mSubmitted = plainCall(this::candidates);
            mContext.plainCalls().submit(mSubmitted, this);
        }
    }

    /**
     * Returns the request as a call that is to be placed.
     *
     * @param upstreams the upstreams to which it may be sent
     */
    PlainCall plainCall(Supplier<List<UpstreamEntry>> upstreams) {
        return new PlainCall(
                mService,
                flowKey(),
                mTrace.elapsedMillis(),
                mRoute.targetMillis(),
                remainingMillis(),
                mRequest.body().length,
                upstreams);
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
        send(arrival.get(), "sent");
    }

    /**
     * Sends the request to the upstream at which it is admitted.
     *
     * @param step the step for the trace
     */
    void send(RequestArrivals.Arrival arrival, String step) {
        UpstreamEntry upstream = mNextUpstream;
        mNextUpstream = null;
        recordDispatch(upstream, step);
        PlainAttempt attempt = new PlainAttempt(mContext, upstream, this);
        mAttempts.add(attempt);
        attempt.start(mRequest, UpstreamPort.RunPlan.plain(arrival, remainingMillis(), priority()));
        mSecondCall.watch(attempt);
    }

    /**
     * Selects the upstream of the next attempt and has the call admitted there.
     *
     * @param candidates the upstreams to which the request may be sent
     * @return whether one of them admits the call
     */
    boolean admitNext(List<UpstreamEntry> candidates) {
        mNextUpstream = mContext.admission().acquireFirst(candidates, flowKey()).orElse(null);
        mAdmittedAt = mContext.loop().millis();
        return mNextUpstream != null;
    }

    /** Refunds the admission of a call that will not be sent. */
    void releaseNext() {
        if (mNextUpstream != null) {
            mContext.admission().refund(mNextUpstream, mAdmittedAt);
            mNextUpstream = null;
        }
    }

    /** Returns the upstreams to which the request may still be sent, the least loaded first. */
    private List<UpstreamEntry> candidates() {
        return mOnlyUpstream == null ? otherUpstreams() : only(mOnlyUpstream);
    }

    /** Returns the upstreams that were not sent the request, the least loaded first. */
    List<UpstreamEntry> otherUpstreams() {
        return mContext.loads()
                .order()
                .byCalls(upstreams(UpstreamEntry.Role.PLAIN), excludedUpstreams());
    }

    /** Returns an upstream if it may still be sent the request. */
    List<UpstreamEntry> only(UpstreamEntry upstream) {
        List<UpstreamEntry> usable =
                upstreams(UpstreamEntry.Role.PLAIN).contains(upstream)
                        ? List.of(upstream)
                        : List.of();
        return mContext.loads().order().byCalls(usable, Set.of());
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
        if (mUpstreamFailure.isPresent() && !isEnded()) {
            mUpstreamFailure.sendTo(mCaller, mTrace);
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
        for (PlainAttempt attempt : List.copyOf(mAttempts)) {
            attempt.abort();
            mSecondCall.recordEnded(attempt);
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return mAttempts.stream().anyMatch(PlainAttempt::mayHaveBeenSent);
    }

    /** {@inheritDoc} */
    @Override
    public void onClosed(PlainAttempt attempt) {
        mAttempts.remove(attempt);
    }

    /** {@inheritDoc} */
    @Override
    public void onSilent(PlainAttempt attempt) {
        mSecondCall.onSilent(attempt);
    }

    /**
     * Returns what a second call depends on.
     *
     * @param turnedAway whether an upstream turned the request away while it was in progress
     *     elsewhere
     */
    SecondCallPolicy.Progress progress(boolean turnedAway) {
        return new SecondCallPolicy.Progress(
                mAttempts.size(),
                mAttempted.size(),
                mAttempted.mayMissAnother(),
                turnedAway && mContext.load().plainQueue() && mOnlyUpstream == null,
                remainingMillis());
    }

    /** Returns whether it is not known yet of a lost call whether its upstream crashed. */
    boolean isLossUnexplained() {
        return mPendingAttributions > 0;
    }

    /** Restricts the request to an upstream that turned it away. */
    void restrictTo(UpstreamEntry upstream) {
        mOnlyUpstream = upstream;
    }

    /** {@inheritDoc} */
    @Override
    public void onAnswer(PlainAttempt attempt, BufferedResponse answer) {
        UpstreamPort.Head head = answer.head();
        switch (head.verdict()) {
            case SUCCESS -> onSuccess(attempt, answer);
            case OWN_FAILURE -> {
                mUpstreamFailure.record(answer);
                onFailed(
                        attempt,
                        AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "status " + head.status()));
            }
            default -> onFailed(attempt, AttemptEnds.end(head));
        }
    }

    /** Sends the first complete success to the caller and aborts the other call. */
    private void onSuccess(PlainAttempt attempt, BufferedResponse answer) {
        UpstreamEntry upstream = attempt.upstream();
        recordSuccess(upstream, "plain", attempt.sentMillis(), answer.head().framed());
        if (mContext.load().plainQueue()) {
            mContext.plainCalls()
                    .recordAnswer(
                            upstream,
                            attempt.upstreamMillis(),
                            attempt.callsThere(),
                            mRoute.targetMillis());
        }
        mContext.loads().recordPace(upstream, attempt.upstreamMillis());
        mSecondCall.recordAnswered(attempt);
        for (PlainAttempt other : List.copyOf(mAttempts)) {
            other.abort();
            mSecondCall.recordReplaced(other, upstream);
        }
        mTrace.addStep("status=" + answer.head().status());
        markIfLate(mTrace.elapsedMillis());
        answer.sendTo(mCaller);
        finishAnswered();
    }

    /** {@inheritDoc} Decides how to continue, unless another call is in progress. */
    @Override
    public void onFailed(PlainAttempt attempt, AttemptEnd end) {
        UpstreamEntry upstream = attempt.upstream();
        recordEnd(attempt, end);
        if (!end.notStarted() && !mRoute.kind().repeatable()) {
            afterCrashAttribution(upstream, end, 0, ended -> {});
            giveUp(end);
            return;
        }
        if (!mAttempts.isEmpty() || mPendingAttributions > 0) {
            mAttempted.withdraw(upstream, end);
            mArrivals.releaseReserved();
            if (end.isTurnedAway()) {
                mSecondCall.recordTurnedAway(upstream);
            }
        }
        mPendingAttributions++;
        afterCrashAttribution(
                upstream,
                end,
                0,
                ended -> {
                    mPendingAttributions--;
                    continueAfter(upstream, end);
                });
    }

    private void recordEnd(PlainAttempt attempt, AttemptEnd end) {
        mSecondCall.recordEnded(attempt);
        if (attempt.isReportedLost() && !end.notStarted()) {
            recordAttemptEnd(attempt.upstream(), end);
        } else {
            recordFailure(attempt.upstream(), end);
        }
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().recordFailure(attempt.upstream(), end);
        }
    }

    /** Continues once all lost calls are explained. */
    private void continueAfter(UpstreamEntry upstream, AttemptEnd end) {
        if (mPendingAttributions > 0) {
            return;
        }
        if (mAttempts.isEmpty()) {
            retry(upstream, end);
        } else if (mAttempts.get(0).isSilent()) {
            mSecondCall.consider(mAttempts.get(0));
        }
    }

    /** Gives up after a failed attempt. */
    private void giveUp(AttemptEnd end) {
        giveUp(end.code(), end.detail(), ServingSettings.RETRY_AFTER_MILLIS);
    }

    /** Sends the request to another upstream if that is allowed, or gives up. */
    private void retry(UpstreamEntry upstream, AttemptEnd end) {
        Optional<UpstreamEntry> turnedAwayBy =
                end.isTurnedAway() ? Optional.of(upstream) : mSecondCall.turnedAwayBy();
        if (mayRetry(upstream, end)) {
            mOnlyUpstream = null;
            place();
        } else if (turnedAwayBy.isPresent() && mayWait()) {
            mOnlyUpstream = turnedAwayBy.get();
            place();
        } else {
            releaseNext();
            giveUp(end);
        }
    }

    /**
     * Returns whether the request waits for an upstream that turned it away, which does not count
     * as a further attempt.
     */
    private boolean mayWait() {
        return mContext.load().plainQueue() && mOnlyUpstream == null && mayResend();
    }
}
