package org.troutpier.daemon.request;

import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import org.troutpier.daemon.claim.Claim;
import org.troutpier.daemon.claim.ClaimOutcome;
import org.troutpier.daemon.claim.ClaimStore.Settled;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.node.Invariants;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The handling of one request, from arrival to its one answer. Confined to the event loop of its
 * caller's connection, but for the accessors, which may be read anywhere. Invariants: the caller
 * gets one answer or one refusal; "not run" is said only when no upstream may have run it; whatever
 * the request holds is given back in {@link #over(ResultCode)}, which every way out passes once.
 */
public abstract class RequestExchange {

    /** How many attempts are made at most, the first included. */
    private static final int MOST_ATTEMPTS = 4;

    /** How long to wait before an outcome is recorded again, milliseconds. */
    private static final long RECORD_AGAIN_MILLIS = 200;

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
    private volatile String mWhere = "";

    /** Ends the request when its deadline passes. */
    private Future<?> mDeadline;

    /** The claim on its key, once granted. */
    private Claim mClaim;

    /** The ticket that waits at the admission controller, or null. */
    private Ticket mTicket;

    /** What the current attempt may use, or null. */
    private Grant mGrant;

    /** How many attempts were started. */
    private int mAttempts;

    /** What is known of the work. */
    private final Knowledge mKnowledge = new Knowledge();

    /** The upstreams that failed it. */
    private final Set<UpstreamId> mAvoid = new HashSet<>();

    /** The complete answer while its outcome is being recorded, or null. */
    private StoredAnswer mComplete;

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
            exchange()
                    .answer(
                            HttpResponses.refusal(
                                    ResultCode.PARTNER_LIMIT, "limit " + partnerLimit));
            return;
        }
        count("accepted");
        event("accepted", declared().partner() + "/" + declared().name());
        exchange().onDisconnect(this::callerGone);
        mDeadline =
                exchange()
                        .loop()
                        .schedule(
                                this::deadline, declared().deadlineMillis(), TimeUnit.MILLISECONDS);
        if (mArrival.key() == null) {
            enqueue();
        } else {
            stage(Stage.CLAIMING);
            mServices
                    .claims()
                    .begin(declared(), mArrival.key(), mArrival.fingerprint())
                    .thenAccept(outcome -> onLoop(() -> claimed(outcome)));
        }
    }

    /**
     * Goes on after asking for a claim.
     *
     * @param outcome what came of it
     */
    private void claimed(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Granted granted) {
            mClaim = granted.claim();
            if (isOver()) {
                mServices.claims().released(mClaim);
            } else {
                event("claimed", "epoch " + mClaim.row().epoch());
                enqueue();
            }
        } else if (isOver()) {
            return;
        } else if (outcome instanceof ClaimOutcome.Replayed replayed) {
            event("replayed", "");
            count("replayed");
            sendWhole(replayed.answer());
            over(null);
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            refuse(refused.code(), refused.detail());
        } else if (declared().whenTableUnavailable() == TableOutagePolicy.RUN) {
            event("run-without-claim", "");
            enqueue();
        } else {
            refuse(ResultCode.TABLE_UNAVAILABLE, "no claim can be made");
        }
    }

    /** Asks the admission controller to start. */
    private void enqueue() {
        stage(Stage.QUEUED);
        mTicket = ticket(mArrivalNanos, Set.copyOf(mAvoid), new AdmissionAnswer());
        Ticket ticket = mTicket;
        mServices.node().control().execute(() -> mServices.controller().submit(ticket));
    }

    /** Receives the admission controller's answer on the control thread and passes it on. */
    private final class AdmissionAnswer implements Ticket.Answer {

        /** {@inheritDoc} */
        @Override
        public void granted(Grant grant) {
            onLoop(() -> begin(grant));
        }

        /** {@inheritDoc} */
        @Override
        public void refused(TroutpierException why) {
            onLoop(() -> refuse(why.code(), why.detail()));
        }
    }

    /**
     * Starts an attempt.
     *
     * @param grant what it may use
     */
    private void begin(Grant grant) {
        if (isOver()) {
            giveBack(grant);
            return;
        }
        mTicket = null;
        mGrant = grant;
        mAttempts++;
        if (mAttempts == 1) {
            mServices.budget().firstTry(declared().partner());
            count("first-tries");
        }
        run(grant, attempt());
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
            long arrivalNanos, Set<UpstreamId> avoid, Ticket.Answer answer);

    /**
     * Runs one attempt.
     *
     * @param grant what it may use
     * @param attempt names the attempt
     */
    protected abstract void run(Grant grant, String attempt);

    /** Ends the exchanges of the current attempt and cancels what its upstreams may hold. */
    protected abstract void stopAttempt();

    /**
     * Sends a whole answer, or what is missing of one that has begun.
     *
     * @param answer the answer
     */
    protected abstract void sendWhole(StoredAnswer answer);

    /**
     * Tells the caller of an answer that has begun that it will not be whole, and cuts it.
     *
     * @param code why
     * @param detail what exactly
     */
    protected abstract void sendCut(ResultCode code, String detail);

    /**
     * Ends the current attempt without an answer: the request is tried again or refused.
     *
     * @param end how it ended
     */
    protected final void attemptEnded(AttemptEnd end) {
        if (isOver()) {
            return;
        }
        event("attempt-ended", end.code().label() + " " + end.detail());
        Grant grant = mGrant;
        mGrant = null;
        stopAttempt();
        report(grant, end);
        mKnowledge.learn(end);
        stage(Stage.QUEUED);
        if (!declared().repeatable() && mKnowledge.mayHaveRun()) {
            refuse(end.code(), end.detail());
        } else if (mAttempts >= MOST_ATTEMPTS) {
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
        if (mServices.budget().retry(declared().partner())) {
            count("retries");
            enqueue();
        } else {
            ResultCode code =
                    mKnowledge.mayHaveRun()
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
    private void report(Grant grant, AttemptEnd end) {
        UpstreamId blamed = blamed(grant);
        mAvoid.add(blamed);
        mServices
                .node()
                .control()
                .execute(
                        () -> {
                            if (end.neverReached()) {
                                mServices.controller().unreached(blamed);
                            } else if (end.notStarted()) {
                                mServices.controller().refusedBy(blamed, end.leaving());
                            }
                            mServices.controller().ended(grant);
                        });
    }

    /**
     * Returns which upstream an attempt ended at.
     *
     * @param grant what it used
     * @return the upstream
     */
    protected abstract UpstreamId blamed(Grant grant);

    /**
     * Goes on when the answer is complete: its outcome is recorded where the class asks for it, and
     * the end mark is sent.
     *
     * @param answer the answer
     * @param keep whether it is small enough to be kept
     */
    protected final void complete(StoredAnswer answer, boolean keep) {
        Grant grant = mGrant;
        mGrant = null;
        giveBack(grant);
        stage(Stage.ANSWERING);
        if (mClaim == null) {
            answered(answer);
            return;
        }
        mComplete = answer;
        boolean first = declared().answerCommit() == AnswerCommit.AFTER_END_MARK;
        long left = mClaim.safeUntilNanos() - mServices.node().nanos().getAsLong();
        if (first && left > LEASE_MARGIN_NANOS) {
            mServices.claims().answeredInBackground(mClaim, kept(answer, keep));
            mClaim = null;
            answered(answer);
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
                .answered(mClaim, kept(answer, keep))
                .thenAccept(settled -> onLoop(() -> recorded(answer, keep, settled)));
    }

    /**
     * Goes on after recording.
     *
     * @param answer the answer
     * @param keep whether it is small enough to be kept
     * @param settled what came of it
     */
    private void recorded(StoredAnswer answer, boolean keep, Settled settled) {
        if (isOver()) {
            return;
        }
        switch (settled) {
            case DONE -> {
                mClaim = null;
                answered(answer);
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
                                    RECORD_AGAIN_MILLIS,
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
    private static Optional<StoredAnswer> kept(StoredAnswer answer, boolean keep) {
        return keep ? Optional.of(answer) : Optional.empty();
    }

    /**
     * Sends the end of a complete answer.
     *
     * @param answer the answer
     */
    private void answered(StoredAnswer answer) {
        count("answered");
        event("answered", "");
        sendWhole(answer);
        over(null);
    }

    /** Ends the request because its deadline has passed. */
    private void deadline() {
        if (mStage == Stage.ANSWERING) {
            refuse(ResultCode.OUTCOME_NOT_RECORDED, "the table did not confirm in time");
        } else if (mKnowledge.mayHaveRun() || mStage.atUpstream()) {
            refuse(ResultCode.DEADLINE_WHILE_RUNNING, "in stage " + mStage.label());
        } else {
            refuse(ResultCode.DEADLINE_BEFORE_START, "in stage " + mStage.label());
        }
    }

    /** Ends the request because its caller is gone. */
    private void callerGone() {
        if (isOver()) {
            return;
        }
        count("caller-gone");
        event("caller-gone", mStage.label());
        if (mStage == Stage.ANSWERING && mClaim != null) {
            mServices.claims().answeredInBackground(mClaim, Optional.of(mComplete));
            mClaim = null;
        }
        mKnowledge.mayHaveRun(mStage.atUpstream());
        over(ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * Cancels the request for an operator; may be called from any thread.
     *
     * @param by who orders it
     */
    public final void cancelBy(String by) {
        onLoop(
                () -> {
                    boolean run = mKnowledge.mayHaveRun() || mStage.atUpstream();
                    refuse(
                            run ? ResultCode.OUTCOME_UNKNOWN : ResultCode.UPSTREAMS_REFUSED,
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
    protected final void refuse(ResultCode wished, String detail) {
        if (isOver()) {
            return;
        }
        mKnowledge.mayHaveRun(mStage.atUpstream());
        ResultCode code = mKnowledge.truthful(wished);
        Invariants.check(
                code.family() != Family.NOT_RUN || !mKnowledge.mayHaveRun(),
                "untruthful-refusal",
                id());
        count("refused." + code.label());
        event("refused", code.label() + " " + detail);
        if (exchange().hasBegun()) {
            sendCut(code, detail);
        } else {
            exchange().answer(HttpResponses.refusal(code, detail));
        }
        over(code);
    }

    /**
     * The one way out: gives everything back.
     *
     * @param code how the request ended, or null where it was answered
     */
    private void over(ResultCode code) {
        Invariants.check(mStage != Stage.OVER, "ended-twice", id());
        boolean ran = mKnowledge.mayHaveRun();
        stopAttempt();
        mStage = Stage.OVER;
        mDeadline.cancel(false);
        if (mTicket != null) {
            Ticket ticket = mTicket;
            mServices.node().control().execute(() -> mServices.controller().withdraw(ticket));
            mTicket = null;
        }
        if (mGrant != null) {
            giveBack(mGrant);
            mGrant = null;
        }
        if (mClaim != null) {
            if (ran && !declared().repeatable()) {
                mServices.claims().ended(mClaim, code);
            } else {
                mServices.claims().released(mClaim);
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
    private void giveBack(Grant grant) {
        mServices.node().control().execute(() -> mServices.controller().ended(grant));
    }

    /**
     * Names the current attempt.
     *
     * @return the request's id, with the attempt's number from the second on
     */
    private String attempt() {
        return mAttempts == 1
                ? id().value()
                : id().value() + ExchangeRegistry.ATTEMPT_SEPARATOR + mAttempts;
    }

    /**
     * Runs an action on the caller's event loop.
     *
     * @param action the action
     */
    protected final void onLoop(Runnable action) {
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
    protected final void stage(Stage stage) {
        mStage = stage;
    }

    /**
     * Takes note of which upstream has the request.
     *
     * @param where the upstream
     */
    protected final void where(String where) {
        mWhere = where;
    }

    /**
     * Counts one for the request's partner.
     *
     * @param what what to count
     */
    protected final void count(String what) {
        mServices.node().count("requests." + declared().partner() + "." + what);
    }

    /**
     * Records an event about the request.
     *
     * @param kind what happened
     * @param detail what else is worth knowing
     */
    protected final void event(String kind, String detail) {
        mServices.node().events().record(kind, id().value(), detail);
    }

    /**
     * Returns whether an attempt may still act.
     *
     * @param attempt the attempt
     * @return whether it is the current one of a request that is not over
     */
    protected final boolean current(String attempt) {
        return !isOver() && mGrant != null && attempt.equals(attempt());
    }

    /**
     * Returns how much time is left.
     *
     * @return milliseconds to the deadline, at least one
     */
    protected final int leftMillis() {
        final long nanosPerMilli = 1_000_000L;
        long passed = (mServices.node().nanos().getAsLong() - mArrivalNanos) / nanosPerMilli;
        return (int) Math.max(1, declared().deadlineMillis() - passed);
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
    public final ClassDeclaration declared() {
        return mArrival.declared();
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
        return mWhere;
    }
}
