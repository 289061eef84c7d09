package org.troutpier.daemon.request;

import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;
import org.troutpier.common.declaration.ClassDeclaration.TableRule;
import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.claim.Claim;
import org.troutpier.daemon.claim.ClaimOutcome;
import org.troutpier.daemon.claim.ClaimStore.SettlementResult;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.node.Invariants;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The handling of one request, from arrival to its one answer. Confined to the event loop of its
 * caller's connection, but for the accessors, which may be read anywhere. Invariants: the caller
 * gets one answer or one refusal; "not run" is said only when no upstream may have run it; whatever
 * the request holds is given back in {@link #finish(ResultCode)}, which every way out passes once.
 */
public abstract class RequestExchange {

    /** How many attempts are made at most, the first included. */
    private static final int MAX_ATTEMPTS = 4;

    /** How long to wait before an outcome is recorded again, milliseconds. */
    private static final long RECORD_RETRY_MILLIS = 200;

    /** How long before its end a lease is no longer trusted, nanoseconds. */
    private static final long LEASE_MARGIN_NANOS = 2_000_000_000L;

    /** What this exchange calls on. */
    private final ExchangeServices mServices;

    /** The request as it arrived. */
    private final Arrival mArrival;

    /** When it arrived, by the monotonic clock. */
    private final long mArrivalNanos;

    /** Where the request is in its handling. */
    private volatile Stage mStage = Stage.RECEIVED;

    /** The upstream that has it, for people to see; empty for none. */
    private volatile String mUpstream = "";

    /** Ends the request when its deadline passes. */
    private Future<?> mDeadlineTimer;

    /** The claim on its key, once granted. */
    private Claim mClaim;

    /** The ticket that waits at the admission controller, or null. */
    private Ticket mTicket;

    /** What the current attempt may use, or null. */
    private Grant mGrant;

    /** How many attempts were started. */
    private int mAttempts;

    /** What is known of the work. */
    private final OutcomeTracker mOutcomeTracker = new OutcomeTracker();

    /** The upstreams that failed it. */
    private final Set<UpstreamId> mFailedUpstreams = new HashSet<>();

    /** The complete answer while its outcome is being recorded, or null. */
    private StoredAnswer mPendingAnswer;

    /**
     * Creates an exchange.
     *
     * @param services what it calls on
     * @param arrival the request as it arrived
     */
    protected RequestExchange(ExchangeServices services, Arrival arrival) {
        mServices = services;
        mArrival = arrival;
        mArrivalNanos = services.node().nanos().getAsLong();
    }

    /**
     * Starts the exchange.
     *
     * @param partnerLimit how many requests the partner may have here
     */
    public final void start(int partnerLimit) {
        if (!mServices.registry().add(this, partnerLimit)) {
            mStage = Stage.OVER;
            count("refused." + ResultCode.PARTNER_LIMIT.label());
            exchange().answer(Answers.refusal(ResultCode.PARTNER_LIMIT, "limit " + partnerLimit));
            return;
        }
        count("accepted");
        recordEvent("accepted", requestClass().partner() + "/" + requestClass().name());
        exchange().onGone(this::onCallerGone);
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

    /**
     * Goes on after asking for a claim.
     *
     * @param outcome what came of it
     */
    private void onClaimOutcome(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Granted granted) {
            mClaim = granted.claim();
            if (isOver()) {
                mServices.claims().release(mClaim);
            } else {
                recordEvent("claimed", "epoch " + mClaim.row().epoch());
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
        } else if (requestClass().whenTableUnavailable() == TableRule.RUN) {
            recordEvent("run-without-claim", "");
            enqueue();
        } else {
            refuse(ResultCode.TABLE_UNAVAILABLE, "no claim can be made");
        }
    }

    /** Asks the admission controller to start. */
    private void enqueue() {
        setStage(Stage.QUEUED);
        mTicket = ticket(mArrivalNanos, Set.copyOf(mFailedUpstreams), new AdmissionListener());
        Ticket ticket = mTicket;
        mServices.node().control().execute(() -> mServices.controller().submit(ticket));
    }

    /** Receives the admission controller's answer on the control thread and passes it on. */
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

    /**
     * Starts an attempt.
     *
     * @param grant what it may use
     */
    private void startAttempt(Grant grant) {
        if (isOver()) {
            release(grant);
            return;
        }
        mTicket = null;
        mGrant = grant;
        mAttempts++;
        if (mAttempts == 1) {
            mServices.budget().recordFirstAttempt(requestClass().partner());
            count("first-tries");
        }
        runAttempt(grant, attemptId());
    }

    /**
     * Makes the ticket for the admission controller.
     *
     * @param arrivalNanos when the request arrived
     * @param avoid the upstreams that failed it
     * @param answer hears the admission controller's answer
     * @return the ticket
     */
    protected abstract Ticket ticket(
            long arrivalNanos, Set<UpstreamId> failedUpstreams, Ticket.Listener listener);

    /**
     * Runs one attempt.
     *
     * @param grant what it may use
     * @param attempt names the attempt
     */
    protected abstract void runAttempt(Grant grant, String attempt);

    /** Ends the exchanges of the current attempt and cancels what its upstreams may hold. */
    protected abstract void stopAttempt();

    /**
     * Sends a whole answer, or what is missing of one that has begun.
     *
     * @param answer the answer
     */
    protected abstract void sendAnswer(StoredAnswer answer);

    /**
     * Tells the caller of an answer that has begun that it will not be whole, and cuts it.
     *
     * @param code why
     * @param detail what exactly
     */
    protected abstract void sendTruncation(ResultCode code, String detail);

    /**
     * Ends the current attempt without an answer: the request is tried again or refused.
     *
     * @param end how it ended
     */
    protected final void onAttemptEnd(AttemptEnd end) {
        if (isOver()) {
            return;
        }
        recordEvent("attempt-ended", end.code().label() + " " + end.detail());
        Grant grant = mGrant;
        mGrant = null;
        stopAttempt();
        reportAttemptEnd(grant, end);
        mOutcomeTracker.recordAttemptEnd(end);
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

    /**
     * Tries again if the partner's budget allows.
     *
     * @param end how the last attempt ended
     */
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

    /**
     * Tells the admission controller how an attempt ended.
     *
     * @param grant what it used
     * @param end how it ended
     */
    private void reportAttemptEnd(Grant grant, AttemptEnd end) {
        UpstreamId failedUpstream = failedUpstream(grant);
        mFailedUpstreams.add(failedUpstream);
        mServices
                .node()
                .control()
                .execute(
                        () -> {
                            if (end.neverReached()) {
                                mServices.controller().onUnreachable(failedUpstream);
                            } else if (end.notStarted()) {
                                mServices.controller().onRefusal(failedUpstream, end.leaving());
                            }
                            mServices.controller().release(grant);
                        });
    }

    /**
     * Returns which upstream an attempt ended at.
     *
     * @param grant what it used
     * @return the upstream
     */
    protected abstract UpstreamId failedUpstream(Grant grant);

    /**
     * Goes on when the answer is complete: its outcome is recorded where the class asks for it, and
     * the end mark is sent.
     *
     * @param answer the answer
     * @param keep whether it is small enough to be kept
     */
    protected final void onAnswerComplete(StoredAnswer answer, boolean keep) {
        Grant grant = mGrant;
        mGrant = null;
        release(grant);
        setStage(Stage.ANSWERING);
        if (mClaim == null) {
            sendAndFinish(answer);
            return;
        }
        mPendingAnswer = answer;
        boolean sendBeforeRecording = requestClass().answerCommit() == AnswerCommit.AFTER_END_MARK;
        long leaseNanos = mClaim.safeUntilNanos() - mServices.node().nanos().getAsLong();
        if (sendBeforeRecording && leaseNanos > LEASE_MARGIN_NANOS) {
            mServices.claims().recordAnswerInBackground(mClaim, answerToKeep(answer, keep));
            mClaim = null;
            sendAndFinish(answer);
        } else {
            recordOutcome(answer, keep);
        }
    }

    /**
     * Records that the request was answered, as often as it takes, and then sends the end mark.
     *
     * @param answer the answer
     * @param keep whether it is small enough to be kept
     */
    private void recordOutcome(StoredAnswer answer, boolean keep) {
        if (isOver()) {
            return;
        }
        mServices
                .claims()
                .recordAnswer(mClaim, answerToKeep(answer, keep))
                .thenAccept(settled -> runOnLoop(() -> onRecorded(answer, keep, settled)));
    }

    /**
     * Goes on after recording.
     *
     * @param answer the answer
     * @param keep whether it is small enough to be kept
     * @param settled what came of it
     */
    private void onRecorded(StoredAnswer answer, boolean keep, SettlementResult settled) {
        if (isOver()) {
            return;
        }
        switch (settled) {
            case DONE -> {
                mClaim = null;
                sendAndFinish(answer);
            }
            case SUPERSEDED -> {
                mClaim = null;
                count("superseded");
                refuse(ResultCode.SUPERSEDED, "another router holds a higher epoch");
            }
            default ->
                    exchange()
                            .loop()
                            .schedule(
                                    () -> recordOutcome(answer, keep),
                                    RECORD_RETRY_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns what is to be kept of an answer.
     *
     * @param answer the answer
     * @param keep whether it is small enough
     * @return the answer, or empty
     */
    private static Optional<StoredAnswer> answerToKeep(StoredAnswer answer, boolean keep) {
        return keep ? Optional.of(answer) : Optional.empty();
    }

    /**
     * Sends the end of a complete answer.
     *
     * @param answer the answer
     */
    private void sendAndFinish(StoredAnswer answer) {
        count("answered");
        recordEvent("answered", "");
        sendAnswer(answer);
        finish(null);
    }

    /** Ends the request because its deadline has passed. */
    private void onDeadline() {
        if (mStage == Stage.ANSWERING) {
            refuse(ResultCode.OUTCOME_NOT_RECORDED, "the table did not confirm in time");
        } else if (mOutcomeTracker.mayHaveRun() || mStage.isAtUpstream()) {
            refuse(ResultCode.DEADLINE_WHILE_RUNNING, "in stage " + mStage.label());
        } else {
            refuse(ResultCode.DEADLINE_BEFORE_START, "in stage " + mStage.label());
        }
    }

    /** Ends the request because its caller is gone. */
    private void onCallerGone() {
        if (isOver()) {
            return;
        }
        count("caller-gone");
        recordEvent("caller-gone", mStage.label());
        if (mStage == Stage.ANSWERING && mClaim != null) {
            mServices.claims().recordAnswerInBackground(mClaim, Optional.of(mPendingAnswer));
            mClaim = null;
        }
        mOutcomeTracker.recordAtUpstream(mStage.isAtUpstream());
        finish(ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * Cancels the request for an operator; may be called from any thread.
     *
     * @param by who orders it
     */
    public final void cancel(String by) {
        runOnLoop(
                () -> {
                    boolean mayHaveRun = mOutcomeTracker.mayHaveRun() || mStage.isAtUpstream();
                    refuse(
                            mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.UPSTREAMS_REFUSED,
                            "cancelled by " + by);
                });
    }

    /**
     * Refuses the request, or cuts its answer if one has begun. What is said never claims more than
     * is known.
     *
     * @param wished the code that fits the last step
     * @param detail what exactly
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
        if (exchange().begun()) {
            sendTruncation(code, detail);
        } else {
            exchange().answer(Answers.refusal(code, detail));
        }
        finish(code);
    }

    /**
     * The one way out: gives everything back.
     *
     * @param code how the request ended, or null where it was answered
     */
    private void finish(ResultCode code) {
        Invariants.check(mStage != Stage.OVER, "ended-twice", id());
        boolean mayHaveRun = mOutcomeTracker.mayHaveRun();
        stopAttempt();
        mStage = Stage.OVER;
        mDeadlineTimer.cancel(false);
        if (mTicket != null) {
            Ticket ticket = mTicket;
            mServices.node().control().execute(() -> mServices.controller().withdraw(ticket));
            mTicket = null;
        }
        if (mGrant != null) {
            release(mGrant);
            mGrant = null;
        }
        if (mClaim != null) {
            if (mayHaveRun && !requestClass().repeatable()) {
                mServices.claims().recordEnd(mClaim, code);
            } else {
                mServices.claims().release(mClaim);
            }
            mClaim = null;
        }
        mServices.registry().remove(this);
    }

    /**
     * Gives a grant back.
     *
     * @param grant the grant
     */
    private void release(Grant grant) {
        mServices.node().control().execute(() -> mServices.controller().release(grant));
    }

    /**
     * Names the current attempt.
     *
     * @return the request's id, with the attempt's number from the second on
     */
    private String attemptId() {
        return mAttempts == 1
                ? id().value()
                : id().value() + ExchangeRegistry.ATTEMPT_SEPARATOR + mAttempts;
    }

    /**
     * Runs an action on the caller's event loop.
     *
     * @param action the action
     */
    protected final void runOnLoop(Runnable action) {
        if (exchange().loop().inEventLoop()) {
            action.run();
        } else {
            exchange().loop().execute(action);
        }
    }

    /**
     * Takes note of where the request is.
     *
     * @param stage the stage
     */
    protected final void setStage(Stage stage) {
        mStage = stage;
    }

    /**
     * Takes note of which upstream has the request.
     *
     * @param where the upstream
     */
    protected final void setUpstream(String upstream) {
        mUpstream = upstream;
    }

    /**
     * Counts one for the request's partner.
     *
     * @param what what to count
     */
    protected final void count(String what) {
        mServices.node().count("requests." + requestClass().partner() + "." + what);
    }

    /**
     * Records an event about the request.
     *
     * @param kind what happened
     * @param detail what else is worth knowing
     */
    protected final void recordEvent(String kind, String detail) {
        mServices.node().events().record(kind, id().value(), detail);
    }

    /**
     * Returns whether an attempt may still act.
     *
     * @param attempt the attempt
     * @return whether it is the current one of a request that is not over
     */
    protected final boolean isCurrent(String attempt) {
        return !isOver() && mGrant != null && attempt.equals(attemptId());
    }

    /**
     * Returns how much time is left.
     *
     * @return milliseconds to the deadline, at least one
     */
    protected final int remainingMillis() {
        final long nanosPerMilli = 1_000_000L;
        long elapsedMillis = (mServices.node().nanos().getAsLong() - mArrivalNanos) / nanosPerMilli;
        return (int) Math.max(1, requestClass().deadlineMillis() - elapsedMillis);
    }

    /**
     * Returns what this exchange calls on.
     *
     * @return the services
     */
    protected final ExchangeServices services() {
        return mServices;
    }

    /**
     * Returns the exchange.
     *
     * @return the request and the way to answer it
     */
    protected final HttpExchange exchange() {
        return mArrival.exchange();
    }

    /**
     * Returns the request as it arrived.
     *
     * @return the arrival
     */
    protected final Arrival arrival() {
        return mArrival;
    }

    /**
     * Returns when the request arrived.
     *
     * @return nanoseconds by the monotonic clock
     */
    public final long arrivalNanos() {
        return mArrivalNanos;
    }

    /**
     * Returns whether the request is over.
     *
     * @return whether it got its one answer or refusal, or its caller is gone
     */
    public final boolean isOver() {
        return mStage == Stage.OVER;
    }

    /**
     * Returns the request's id.
     *
     * @return the id
     */
    public final RequestId id() {
        return mArrival.id();
    }

    /**
     * Returns the request's class.
     *
     * @return the class
     */
    public final ClassDeclaration requestClass() {
        return mArrival.requestClass();
    }

    /**
     * Returns where the request is in its handling.
     *
     * @return the stage
     */
    public final Stage currentStage() {
        return mStage;
    }

    /**
     * Returns which upstream has the request.
     *
     * @return the upstream, empty for none
     */
    public final String currentUpstream() {
        return mUpstream;
    }
}
