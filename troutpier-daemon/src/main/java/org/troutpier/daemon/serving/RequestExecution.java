package org.troutpier.daemon.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.request.Knowledge;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves one request from its arrival to its end. Confined to the traffic loop. Invariants: a
 * request ends once; it is ended no later than its route's timeout and its caller's deadline; a
 * refusal says "not run" only while no upstream may have run it.
 */
abstract class RequestExecution {

    /** The collaborators. */
    protected final ServingContext mContext;

    /** The request. */
    protected final ServingRequest mRequest;

    /** Its route. */
    protected final Route mRoute;

    /** The service that was chosen among the route's. */
    protected final String mService;

    /** The way to answer. */
    protected final CallerChannel mCaller;

    /** What is known of its attempts. */
    protected final Knowledge mKnowledge = new Knowledge();

    /** Where it was sent to be run. */
    protected final Set<UpstreamIncarnation> mAttempted = new HashSet<>();

    /** Which upstreams never received the request: not reached, or another stood in their place. */
    private final Set<UpstreamIncarnation> mUnreached = new HashSet<>();

    /** What happened, for the log. */
    protected final RequestTrace mTrace;

    /** When it ends at the latest, milliseconds on the loop's clock. */
    private final long mDeadlineMillis;

    /** Fires at the deadline. */
    private final TrafficLoop.Timer mDeadlineTimer;

    /** Whether it has ended. */
    private boolean mEnded;

    /** Names what is asked for. */
    private final LazyFingerprint mFingerprint;

    /** Whether it was sent to be run. */
    private boolean mDispatched;

    /** Whether it was refused as certainly not run. */
    private boolean mRefusedAsNotRun;

    /** What it counts as against its organisation's limit, or 0 where it was not counted. */
    private double mUsageCost;

    /** When it was counted, milliseconds on the loop's clock. */
    private long mChargedAt;

    /**
     * Creates an execution.
     *
     * @param context the collaborators
     * @param request the request
     * @param route its route
     * @param service the service that was chosen among the route's
     * @param caller the way to answer
     */
    RequestExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            CallerChannel caller) {
        mContext = context;
        mRequest = request;
        mFingerprint = new LazyFingerprint(request);
        mRoute = route;
        mService = service;
        mCaller = caller;
        mTrace = new RequestTrace(request.id().value(), route.name(), context.loop());
        long held =
                Math.min(
                        route.timeoutMillis(),
                        request.deadlineMillis() - ServingSettings.ANSWER_MARGIN_MILLIS);
        mDeadlineMillis = context.loop().millis() + Math.max(1, held);
        mDeadlineTimer = context.loop().schedule(this::onDeadline, Math.max(1, held));
        mTrace.addInput("routersHeard", context.peerLoads().peerCount());
        request.organisation().ifPresent(organisation -> mTrace.addOrganisation(organisation.id()));
        context.metrics().requestStarted();
        caller.onDisconnect(this::onCallerDisconnect);
        context.extraCallBudget().recordRequest(service, context.loop().millis());
    }

    /**
     * Returns what happened to the request so far.
     *
     * @return the trace
     */
    RequestTrace trace() {
        return mTrace;
    }

    /** Begins to serve, once the use of upstreams is known as it is now. */
    final void begin() {
        mContext.loadView()
                .whenFresh(
                        () -> {
                            if (!mEnded && chargeUsage()) {
                                start();
                            }
                        });
    }

    /**
     * Counts the request against its organisation's limit, or refuses it.
     *
     * @return whether it may be served
     */
    private boolean chargeUsage() {
        Optional<Organisation> organisation = mRequest.organisation();
        if (organisation.isEmpty()) {
            return true;
        }
        double cost = organisation.get().limit().cost(mRequest.maxTokens());
        Optional<OrganisationLimiter.Refusal> refusal =
                mContext.organisationLimiter().admit(organisation.get(), cost);
        if (refusal.isPresent()) {
            long returnMillis = refusal.get().returnMillis();
            refuse(ResultCode.USE_LIMIT, refusal.get().detail(), returnMillis);
            return false;
        }
        mUsageCost = cost;
        mChargedAt = mContext.loop().millis();
        return true;
    }

    /** Gives back what the request counted as, where it certainly did not run. */
    private void refundUsage() {
        if (mUsageCost > 0 && (!mDispatched || mRefusedAsNotRun)) {
            mRequest.organisation()
                    .ifPresent(
                            each ->
                                    mContext.organisationLimiter()
                                            .refund(each, mUsageCost, mChargedAt));
        }
    }

    /**
     * Returns the request's rank: its organisation's, or its route's where that has none.
     *
     * @return the rank, 0 is the most urgent
     */
    protected int priority() {
        return mRequest.organisation()
                .map(organisation -> organisation.priority().orElse(mRoute.priority()))
                .orElse(mRoute.priority());
    }

    /**
     * Returns who asks.
     *
     * @return the request's rank and organisation
     */
    protected FlowKey flowKey() {
        return new FlowKey(
                priority(),
                mRequest.organisation().map(Organisation::id).orElse(FlowKey.NO_ORGANISATION));
    }

    /** Looks for an upstream for the first time. */
    abstract void start();

    /** Stops whatever is under way upstream and gives back whatever is held. */
    protected abstract void releaseUpstream();

    /**
     * Returns whether an upstream may be working on the request just now.
     *
     * @return whether the request was handed to one and has not come back
     */
    protected abstract boolean isAtUpstream();

    /**
     * Returns the time that is left.
     *
     * @return milliseconds, at least 1
     */
    protected long remainingMillis() {
        return Math.max(1, mDeadlineMillis - mContext.loop().millis());
    }

    /**
     * Returns whether the request has ended.
     *
     * @return whether nothing more is to be done
     */
    protected boolean isEnded() {
        return mEnded;
    }

    /**
     * Returns the upstreams of the request's service that may get work.
     *
     * @param role what they do
     * @return the upstreams
     */
    protected List<UpstreamEntry> upstreams(UpstreamEntry.Role role) {
        return mContext.directory().usable(mService).stream()
                .filter(entry -> entry.role() == role)
                .toList();
    }

    /**
     * Records an attempt's end.
     *
     * @param upstream where it was
     * @param end how it ended
     */
    protected void recordFailure(UpstreamEntry upstream, AttemptEnd end) {
        mKnowledge.learn(end);
        mContext.metrics().callFailed(upstream.id(), end.notStarted());
        mTrace.addStep("failed@" + upstream.id() + "(" + end.detail() + ")");
        if (end.notStarted() && end.leaving()) {
            mContext.loads().replaced(upstream);
        } else if (!end.notStarted() || end.unreachable()) {
            mContext.loads().failed(upstream, end.neverReached(), end.detail());
        } else if (upstream.role() == UpstreamEntry.Role.DECODE) {
            mContext.loads().runRefused(upstream);
        }
    }

    /**
     * Goes on after a failed call, once it is known whether it was lost because its upstream ended,
     * which may be the request's own doing: it is not to end the next before that is known.
     *
     * @param upstream where it was
     * @param end how it ended
     * @param next told whether the upstream is known to have ended; not called where the request
     *     has ended meanwhile
     */
    protected void afterCrashAttribution(
            UpstreamEntry upstream, AttemptEnd end, Consumer<Boolean> next) {
        if (end.notStarted() || !end.unreachable()) {
            next.accept(false);
            return;
        }
        mTrace.addFingerprint(mFingerprint.get());
        mContext.crashGuard()
                .attributeLoss(
                        upstream,
                        mFingerprint.get(),
                        ended -> {
                            if (!mEnded) {
                                next.accept(ended);
                            }
                        });
    }

    /**
     * Ends the request if what it asks for has ended several upstreams. To be asked before each
     * call that works on it.
     *
     * @return whether it must not be run, and has ended
     */
    protected boolean refuseIfQuarantined() {
        if (mEnded || !mContext.crashGuard().isQuarantined(mFingerprint)) {
            return false;
        }
        mTrace.addFingerprint(mFingerprint.get());
        mTrace.markNotable();
        String detail = "upstreams ended under what it asks for, " + mFingerprint.get();
        if (isStreaming()) {
            abortStream(detail);
        } else {
            refuse(ResultCode.REQUEST_QUARANTINED, detail, 0);
        }
        return true;
    }

    /**
     * Returns whether one more call may be sent to run the request. A call that never reached its
     * upstream is no attempt and no extra call. One that another upstream received in its place is
     * no attempt either, but it did arrive, so the next one is extra.
     *
     * @param upstream where the last call was sent
     * @param end how it ended
     * @return whether attempts, time and the budget of extra calls allow it
     */
    protected boolean mayRetry(UpstreamEntry upstream, AttemptEnd end) {
        if (remainingMillis() <= ServingSettings.ANSWER_MARGIN_MILLIS) {
            return false;
        }
        boolean another = end.notStarted() && end.leaving();
        boolean unreached = end.neverReached();
        if (another || unreached) {
            mAttempted.remove(upstream.incarnation());
            mUnreached.add(upstream.incarnation());
            boolean more = mUnreached.size() <= ServingSettings.MAX_UNREACHED;
            return more && (unreached || tryAcquireExtraCall());
        }
        return mAttempted.size() < mRoute.maxAttempts() && tryAcquireExtraCall();
    }

    /**
     * Returns whether the request may be sent again to an upstream that had it, which is no further
     * attempt.
     *
     * @return whether time and the budget of extra calls allow it
     */
    protected boolean mayResend() {
        return remainingMillis() > ServingSettings.ANSWER_MARGIN_MILLIS && tryAcquireExtraCall();
    }

    /**
     * Returns whether the budget of extra calls allows one more.
     *
     * @return whether it does; it is taken from the budget then
     */
    protected boolean tryAcquireExtraCall() {
        boolean made = mContext.extraCallBudget().tryAcquire(mService, mContext.loop().millis());
        mContext.metrics().recordExtraCall(made);
        if (!made) {
            mTrace.addStep("budget of extra calls is used up");
        }
        return made;
    }

    /**
     * Returns the upstreams that the request is not to be sent to again.
     *
     * @return those that had it and those that could not be reached
     */
    protected Set<UpstreamIncarnation> excludedUpstreams() {
        Set<UpstreamIncarnation> excluded = new HashSet<>(mAttempted);
        excluded.addAll(mUnreached);
        return excluded;
    }

    /**
     * Records that the request is sent to be run.
     *
     * @param upstream where to
     * @param step what it is called in the log
     */
    protected void recordDispatch(UpstreamEntry upstream, String step) {
        mDispatched = true;
        mAttempted.add(upstream.incarnation());
        mTrace.addStep(step + "@" + upstream.id());
        mContext.metrics().callSent(upstream.id());
    }

    /**
     * Records that an upstream answered well.
     *
     * @param upstream the upstream
     * @param stage the stage that is over
     * @param millis how long it took
     */
    protected void recordSuccess(UpstreamEntry upstream, String stage, long millis) {
        mContext.loads().succeeded(upstream);
        mContext.crashGuard().recordCompletion(mFingerprint);
        mContext.metrics().callSucceeded(upstream.id(), stage, millis);
    }

    /**
     * Marks the request as late if its target has passed.
     *
     * @param millis how long its answer took to come
     */
    protected void markIfLate(long millis) {
        if (millis > mRoute.targetMillis()) {
            mTrace.markNotable();
        }
    }

    /** Ends the request after an upstream's whole answer went to the caller. */
    protected void finishAnswered() {
        finish(RequestTrace.ANSWERED);
    }

    /**
     * Ends the request with a refusal that is true for all its attempts.
     *
     * @param wished the code that fits the last step
     * @param detail what exactly
     * @param retryAfterMillis when to come back, milliseconds
     */
    protected void refuse(ResultCode wished, String detail, long retryAfterMillis) {
        if (mEnded) {
            return;
        }
        ResultCode code = mKnowledge.truthful(wished);
        mRefusedAsNotRun = code.family() == ResultCode.Family.NOT_RUN;
        boolean comeBack = mRefusedAsNotRun || mRoute.kind().repeatable();
        mTrace.addStep(code.label() + "(" + detail + ")");
        releaseUpstream();
        mCaller.refuse(code, detail, comeBack ? retryAfterMillis : 0);
        finish(code.label());
    }

    /**
     * Ends the request by breaking its answer off.
     *
     * @param reason why, for the log
     */
    protected void abortStream(String reason) {
        if (mEnded) {
            return;
        }
        mTrace.addStep("cut(" + reason + ")");
        releaseUpstream();
        mCaller.abort();
        finish("cut");
    }

    /** Ends the request at its deadline. */
    private void onDeadline() {
        if (mEnded) {
            return;
        }
        mTrace.addStep("deadline");
        mKnowledge.mayHaveRun(isAtUpstream());
        if (isStreaming()) {
            abortStream("deadline");
        } else if (isAtUpstream()) {
            refuse(ResultCode.DEADLINE_WHILE_RUNNING, "deadline at the upstream", 0);
        } else {
            refuse(
                    ResultCode.NO_PLACE,
                    "deadline before the start",
                    ServingSettings.RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Returns whether a stream to the caller was begun.
     *
     * @return whether a refusal can no longer be told
     */
    protected boolean isStreaming() {
        return false;
    }

    /** Ends the request after its caller has left. */
    private void onCallerDisconnect() {
        if (mEnded) {
            return;
        }
        releaseUpstream();
        finish("caller-gone");
    }

    /**
     * Ends the request.
     *
     * @param outcome how, for the log
     */
    private void finish(String outcome) {
        mEnded = true;
        mDeadlineTimer.cancel();
        refundUsage();
        mContext.metrics().requestEnded(mRoute.name(), outcome, mTrace.elapsedMillis());
        mContext.decisionLog().requestEnded(mTrace, outcome);
    }
}
