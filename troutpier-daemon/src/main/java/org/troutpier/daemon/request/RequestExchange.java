package org.troutpier.daemon.request;

import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;
import org.troutpier.common.declaration.ClassDeclaration.TableOutagePolicy;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.claim.ClaimOutcome;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.node.Invariants;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Handling of a request, from arrival to the answer or refusal. Confined to the event loop of the
 * caller's connection, except for the accessors, which are thread safe. Invariants: the caller
 * receives exactly one answer or refusal; "not run" is reported only if no upstream may have run
 * the request; all resources are released in {@link #finish(ResultCode)}, which every accepted
 * request passes exactly once.
 */
public abstract class RequestExchange {

    /** Maximum number of attempts, including the first one. */
    private static final int MAX_ATTEMPTS = 4;

    private final ExchangeServices mServices;

    private final Arrival mArrival;

    /** Time of arrival on the monotonic clock. */
    private final long mArrivalNanos;

    private volatile Stage mStage = Stage.RECEIVED;

    /** Upstream that has the request, for display; empty for none. */
    private volatile String mUpstream = "";

    private Future<?> mDeadlineTimer;

    private final HeldClaim mClaim;

    private final HeldAdmission mAdmission;

    private final ReplacementSearch mReplacement;

    /** Number of attempts started. */
    private int mAttempts;

    private final OutcomeTracker mOutcomeTracker = new OutcomeTracker();

    /** Complete answer while its outcome is being recorded, or null. */
    private StoredAnswer mPendingAnswer;

    /**
     * Creates an exchange.
     *
     * @param services shared services
     * @param arrival the request
     */
    protected RequestExchange(ExchangeServices services, Arrival arrival) {
        mServices = services;
        mArrival = arrival;
        mArrivalNanos = services.node().nanos().getAsLong();
        mClaim = new HeldClaim(services, arrival);
        mAdmission = new HeldAdmission(services);
        mReplacement = new ReplacementSearch(services, arrival);
    }

    /**
     * Starts the exchange.
     *
     * @param partnerLimit maximum number of the partner's requests in progress on this router
     */
    public final void start(int partnerLimit) {
        if (!mServices.registry().add(this, partnerLimit)) {
            mStage = Stage.OVER;
            count("refused." + ResultCode.PARTNER_LIMIT.label());
            exchange()
                    .answer(
                            HttpResponses.refusal(
                                    ResultCode.PARTNER_LIMIT, "limit " + partnerLimit));
            return;
        }
        count("accepted");
        recordEvent("accepted", requestClass().partner() + "/" + requestClass().name());
        exchange().onDisconnect(this::onCallerGone);
        mDeadlineTimer =
                exchange()
                        .loop()
                        .schedule(
                                this::onDeadline,
                                requestClass().deadlineMillis(),
                                TimeUnit.MILLISECONDS);
        if (mArrival.key() == null) {
            enqueue();
        } else {
            setStage(Stage.CLAIMING);
            mServices
                    .claims()
                    .acquire(requestClass(), mArrival.key(), mArrival.fingerprint())
                    .thenAccept(outcome -> runOnLoop(() -> onClaimOutcome(outcome)));
        }
    }

    /** Continues after the attempt to acquire a claim. */
    private void onClaimOutcome(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Granted granted) {
            if (isOver()) {
                mServices.claims().release(granted.claim());
            } else {
                mClaim.hold(granted.claim());
                recordEvent("claimed", "epoch " + granted.claim().row().epoch());
                enqueue();
            }
        } else if (isOver()) {
            return;
        } else if (outcome instanceof ClaimOutcome.Replayed replayed) {
            recordEvent("replayed", "");
            count("replayed");
            sendAnswer(replayed.answer());
            finish(null);
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            refuse(refused.code(), refused.detail());
        } else if (requestClass().whenTableUnavailable() == TableOutagePolicy.RUN) {
            recordEvent("run-without-claim", "");
            enqueue();
        } else {
            refuse(ResultCode.TABLE_UNAVAILABLE, "no claim can be made");
        }
    }

    /** Submits a ticket to the admission controller. */
    private void enqueue() {
        setStage(Stage.QUEUED);
        mAdmission.submit(
                ticket(mArrivalNanos, mAdmission.failedUpstreams(), new AdmissionListener()));
    }

    /** Receives the admission decision on the control thread and forwards it to the event loop. */
    private final class AdmissionListener implements Ticket.Listener {

        /** {@inheritDoc} */
        @Override
        public void onGranted(Grant grant) {
            runOnLoop(() -> startAttempt(grant));
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(TroutpierException why) {
            runOnLoop(() -> refuse(why.code(), why.detail()));
        }
    }

    /** Starts an attempt, or releases the grant if the request is over. */
    private void startAttempt(Grant grant) {
        if (isOver()) {
            mAdmission.release(grant);
            return;
        }
        mAdmission.accept(grant);
        mAttempts++;
        if (mAttempts == 1) {
            mServices.budget().recordFirstAttempt(requestClass().partner());
            count("first-tries");
        }
        runAttempt(grant, attemptId());
    }

    /**
     * Creates the ticket for the admission controller.
     *
     * @param arrivalNanos time of arrival on the monotonic clock
     * @param failedUpstreams upstreams that failed this request
     * @param listener receives the admission decision
     * @return the ticket
     */
    protected abstract Ticket ticket(
            long arrivalNanos, Set<UpstreamId> failedUpstreams, Ticket.Listener listener);

    /**
     * Runs an attempt.
     *
     * @param grant upstreams that it may use
     * @param attempt id of the attempt
     */
    protected abstract void runAttempt(Grant grant, String attempt);

    /** Aborts the calls of the current attempt and cancels what its upstreams may hold. */
    protected abstract void stopAttempt();

    /** Sends a complete answer, or the rest of one that has been started. */
    protected abstract void sendAnswer(StoredAnswer answer);

    /**
     * Reports to the caller that an answer that has been started cannot be completed, and truncates
     * it.
     *
     * @param code why
     * @param detail detail of the failure
     */
    protected abstract void sendTruncation(ResultCode code, String detail);

    /**
     * Ends the current attempt without an answer; the request is retried or refused.
     *
     * @param end how the attempt ended
     */
    protected final void onAttemptEnd(AttemptEnd end) {
        if (isOver()) {
            return;
        }
        releaseAttempt(end);
        setStage(Stage.QUEUED);
        if (!requestClass().repeatable() && mOutcomeTracker.mayHaveRun()) {
            refuse(end.code(), end.detail());
        } else if (mAttempts >= MAX_ATTEMPTS) {
            refuse(end.code(), "tried " + mAttempts + " times; " + end.detail());
        } else if (!end.notStarted() || !end.unreachable()) {
            retryWithinBudget(end);
        } else {
            enqueue();
        }
    }

    /** Stops the current attempt and releases what it holds. */
    private void releaseAttempt(AttemptEnd end) {
        recordEvent("attempt-ended", end.code().label() + " " + end.detail());
        mReplacement.end();
        Grant grant = mAdmission.take();
        stopAttempt();
        mAdmission.release(grant, failedUpstream(grant), end);
        mOutcomeTracker.recordAttemptEnd(end);
    }

    /**
     * Searches upstreams for another attempt while the current one, which is silent, goes on. The
     * current attempt ends once they have been granted; without them it is kept until the deadline.
     *
     * @param suspects upstreams that may be the cause of the silence
     * @param isUseful whether a grant promises more than the current attempt
     * @param end how the current attempt ends if it is replaced
     */
    protected final void searchReplacement(
            Set<UpstreamId> suspects, Predicate<Grant> isUseful, AttemptEnd end) {
        if (!requestClass().repeatable() || mAttempts >= MAX_ATTEMPTS) {
            return;
        }
        Set<UpstreamId> avoided = new HashSet<>(mAdmission.failedUpstreams());
        avoided.addAll(suspects);
        mReplacement.tryStart(
                listener -> ticket(mArrivalNanos, avoided, listener),
                isUseful,
                grant -> {
                    count("given-up");
                    count("retries");
                    releaseAttempt(end);
                    startAttempt(grant);
                });
    }

    /** Ends the search for another attempt: the current one goes on. */
    protected final void endReplacementSearch() {
        mReplacement.end();
    }

    /** Retries the request if the partner's retry budget allows it, or else refuses it. */
    private void retryWithinBudget(AttemptEnd end) {
        if (mServices.budget().tryAcquire(requestClass().partner())) {
            count("retries");
            enqueue();
        } else {
            ResultCode code =
                    mOutcomeTracker.mayHaveRun()
                            ? ResultCode.RETRIES_SPENT
                            : ResultCode.UPSTREAMS_REFUSED;
            refuse(code, end.detail());
        }
    }

    /** Returns the upstream at which the current attempt ended. */
    protected abstract UpstreamId failedUpstream(Grant grant);

    /**
     * Handles a complete answer: its outcome is recorded if the request has a claim, and the end
     * mark is sent.
     *
     * @param answer the answer
     * @param keep whether the answer is small enough to be stored
     */
    protected final void onAnswerComplete(StoredAnswer answer, boolean keep) {
        mReplacement.end();
        mAdmission.release(mAdmission.take());
        setStage(Stage.ANSWERING);
        if (!mClaim.isHeld()) {
            sendAndFinish(answer);
            return;
        }
        mPendingAnswer = answer;
        Optional<StoredAnswer> kept = keep ? Optional.of(answer) : Optional.empty();
        boolean sendBeforeRecording = requestClass().answerCommit() == AnswerCommit.AFTER_END_MARK;
        if (sendBeforeRecording && mClaim.outlastsRecording()) {
            mClaim.recordInBackground(kept);
            sendAndFinish(answer);
        } else {
            mClaim.record(kept, recorded -> onRecorded(answer, recorded));
        }
    }

    /** Sends the end mark if the answer was recorded. */
    private void onRecorded(StoredAnswer answer, boolean recorded) {
        if (recorded) {
            sendAndFinish(answer);
        } else {
            count("superseded");
            refuse(ResultCode.SUPERSEDED, "another router holds a higher epoch");
        }
    }

    /**
     * Sends the complete answer, or the end of one that has been started, and finishes the request.
     */
    private void sendAndFinish(StoredAnswer answer) {
        count("answered");
        recordEvent("answered", "");
        sendAnswer(answer);
        finish(null);
    }

    /** Refuses the request because its deadline has passed. */
    private void onDeadline() {
        if (mStage == Stage.ANSWERING) {
            refuse(ResultCode.OUTCOME_NOT_RECORDED, "the table did not confirm in time");
        } else if (mOutcomeTracker.mayHaveRun() || mStage.isAtUpstream()) {
            refuse(ResultCode.DEADLINE_WHILE_RUNNING, "in stage " + mStage.label());
        } else {
            refuse(ResultCode.DEADLINE_BEFORE_START, "in stage " + mStage.label());
        }
    }

    /**
     * Finishes the request because the caller has disconnected. A complete answer is still
     * recorded.
     */
    private void onCallerGone() {
        if (isOver()) {
            return;
        }
        count("caller-gone");
        recordEvent("caller-gone", mStage.label());
        if (mStage == Stage.ANSWERING && mClaim.isHeld()) {
            mClaim.recordInBackground(Optional.of(mPendingAnswer));
        }
        mOutcomeTracker.recordAtUpstream(mStage.isAtUpstream());
        finish(ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * Cancels the request on behalf of an operator. Thread safe.
     *
     * @param by who cancels it
     */
    public final void cancel(String by) {
        runOnLoop(() -> giveUp(ResultCode.UPSTREAMS_REFUSED, "cancelled by " + by));
    }

    /** Refuses the request, unless its answer was begun, because the router ends. Thread safe. */
    public final void refuseForStop() {
        runOnLoop(
                () -> {
                    if (!exchange().hasBegun()) {
                        giveUp(ResultCode.ROUTER_NOT_READY, "the router stops");
                    }
                });
    }

    /**
     * Refuses the request before its deadline.
     *
     * @param notRun the code if no upstream can have run it
     */
    private void giveUp(ResultCode notRun, String detail) {
        boolean mayHaveRun = mOutcomeTracker.mayHaveRun() || mStage.isAtUpstream();
        refuse(mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : notRun, detail);
    }

    /**
     * Refuses the request, or truncates the answer if it has been started. The reported code is
     * restricted to what is known of all attempts.
     *
     * @param preferred code of the last step
     * @param detail detail of the refusal
     */
    protected final void refuse(ResultCode preferred, String detail) {
        if (isOver()) {
            return;
        }
        mOutcomeTracker.recordAtUpstream(mStage.isAtUpstream());
        ResultCode code = mOutcomeTracker.reportableCode(preferred);
        Invariants.check(
                code.family() != Family.NOT_RUN || !mOutcomeTracker.mayHaveRun(),
                "untruthful-refusal",
                id());
        count("refused." + code.label());
        recordEvent("refused", code.label() + " " + detail);
        if (exchange().hasBegun()) {
            sendTruncation(code, detail);
        } else {
            exchange().answer(HttpResponses.refusal(code, detail));
        }
        finish(code);
    }

    /**
     * Ends the request and releases all its resources.
     *
     * @param code how the request ended; null if it was answered
     */
    private void finish(ResultCode code) {
        Invariants.check(mStage != Stage.OVER, "ended-twice", id());
        boolean mayHaveRun = mOutcomeTracker.mayHaveRun();
        stopAttempt();
        mStage = Stage.OVER;
        mDeadlineTimer.cancel(false);
        mReplacement.end();
        mAdmission.leave();
        mClaim.settle(mayHaveRun, code);
        mServices.registry().remove(this);
    }

    /**
     * Returns the id of the current attempt: the id of the request, followed by the number of the
     * attempt from the second one on.
     */
    private String attemptId() {
        return mAttempts == 1
                ? id().value()
                : id().value() + ExchangeRegistry.ATTEMPT_SEPARATOR + mAttempts;
    }

    /** Runs an action on the event loop of the caller's connection. */
    protected final void runOnLoop(Runnable action) {
        mArrival.runOnLoop(action);
    }

    /** Sets the stage of the request. */
    protected final void setStage(Stage stage) {
        mStage = stage;
    }

    /** Sets the upstream that has the request, for display. */
    protected final void setUpstream(String upstream) {
        mUpstream = upstream;
    }

    /**
     * Increments a counter of the partner.
     *
     * @param what name of the counter
     */
    protected final void count(String what) {
        mServices.node().count("requests." + requestClass().partner() + "." + what);
    }

    /**
     * Records an event of the request.
     *
     * @param kind kind of the event
     * @param detail further details
     */
    protected final void recordEvent(String kind, String detail) {
        mServices.node().events().record(kind, id().value(), detail);
    }

    /**
     * Returns whether an attempt is the current one and the request is not over. Results of other
     * attempts are ignored.
     *
     * @param attempt id of the attempt
     */
    protected final boolean isCurrent(String attempt) {
        return !isOver() && mAdmission.isGranted() && attempt.equals(attemptId());
    }

    /** Returns the time until the deadline in milliseconds, at least 1. */
    protected final int remainingMillis() {
        final long nanosPerMilli = 1_000_000L;
        long elapsedMillis = (mServices.node().nanos().getAsLong() - mArrivalNanos) / nanosPerMilli;
        return (int) Math.max(1, requestClass().deadlineMillis() - elapsedMillis);
    }

    /** Returns the shared services. */
    protected final ExchangeServices services() {
        return mServices;
    }

    /** Returns the request and its response. */
    protected final HttpExchange exchange() {
        return mArrival.exchange();
    }

    /** Returns the request as parsed and classified. */
    protected final Arrival arrival() {
        return mArrival;
    }

    /** Returns the time of arrival on the monotonic clock. */
    public final long arrivalNanos() {
        return mArrivalNanos;
    }

    /** Returns whether the request was answered or refused, or its caller has disconnected. */
    public final boolean isOver() {
        return mStage == Stage.OVER;
    }

    /** Returns the id of the request. */
    public final RequestId id() {
        return mArrival.id();
    }

    /** Returns the class of the request. */
    public final ClassDeclaration requestClass() {
        return mArrival.requestClass();
    }

    /** Returns the stage of the request. */
    public final Stage currentStage() {
        return mStage;
    }

    /** Returns the upstream that has the request; empty for none. */
    public final String currentUpstream() {
        return mUpstream;
    }
}
