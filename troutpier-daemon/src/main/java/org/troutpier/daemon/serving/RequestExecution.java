package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.quarantine.Withholding;
import org.troutpier.daemon.request.OutcomeTracker;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves one request from arrival to completion. Confined to the traffic loop. Invariants: a
 * request is finished exactly once, no later than its route's timeout and its caller's deadline; a
 * refusal says "not run" only if no upstream can have run the request.
 */
abstract class RequestExecution {

    /** Why a call is not sent that would be an extra one. */
    protected static final String BUDGET_USED_UP = "budget of extra calls is used up";

    /** The shared collaborators. */
    protected final ServingContext mContext;

    /** The request that is served. */
    protected final ServingRequest mRequest;

    /** The route of the request. */
    protected final Route mRoute;

    /** The service that was selected from the route. */
    protected final String mService;

    /** The channel to the caller. */
    protected final CallerChannel mCaller;

    /** What the attempts so far prove about whether the request was run. */
    protected final OutcomeTracker mOutcomeTracker = new OutcomeTracker();

    /** The upstreams to which the request was sent to be run. */
    protected final AttemptedUpstreams mAttempted = new AttemptedUpstreams();

    /** The calls of the request that may have arrived at upstreams. */
    protected final RequestArrivals mArrivals;

    /** The steps of the request, for its log line. */
    protected final RequestTrace mTrace;

    private final RequestDeadline mDeadline;

    private boolean mEnded;

    private final RequestTraits mTraits;

    /** Whether the request was sent to an upstream to be run. */
    private boolean mDispatched;

    /** Whether the request was refused with a code that says it was certainly not run. */
    private boolean mRefusedAsNotRun;

    private final UsageCharge mUsageCharge;

    RequestExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            CallerChannel caller) {
        mContext = context;
        mRequest = request;
        mTraits = new RequestTraits(request, service);
        mUsageCharge = new UsageCharge(context, request);
        mRoute = route;
        mService = service;
        mCaller = caller;
        mTrace = new RequestTrace(request.id().value(), route.name(), context.loop());
        mArrivals =
                new RequestArrivals(
                        context.extraCallBudget(),
                        service,
                        context.loop()::millis,
                        this::onPermitRequested);
        mDeadline =
                new RequestDeadline(
                        context.loop(),
                        context.stopDeadline(),
                        limitMillis(route, request),
                        this::isStreaming,
                        this::onDeadline);
        mTrace.addInput("routersHeard", context.peerLoads().peerCount());
        if (request.isResumed()) {
            mTrace.addResumedAttempt(request.resumedAttempt());
            mTrace.markNotable();
        }
        request.organisation().ifPresent(organisation -> mTrace.addOrganisation(organisation.id()));
        context.metrics().requestStarted();
        caller.onDisconnect(this::onCallerDisconnect);
        context.extraCallBudget().recordRequest(service, context.loop().millis());
        recordBudgetUsage();
    }

    /** Returns how long a request may take by its route and its caller. */
    static long limitMillis(Route route, ServingRequest request) {
        return Math.min(
                route.timeoutMillis(),
                request.deadlineMillis() - ServingSettings.ANSWER_MARGIN_MILLIS);
    }

    RequestTrace trace() {
        return mTrace;
    }

    /** Starts to serve the request once the view of upstream usage is fresh. */
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
     * Charges the request to its organisation, or refuses it if the limit is reached.
     *
     * @return whether the request may be served
     */
    private boolean chargeUsage() {
        Optional<OrganisationLimiter.Refusal> refusal = mUsageCharge.charge();
        refusal.ifPresent(each -> refuse(ResultCode.USE_LIMIT, each.detail(), each.returnMillis()));
        return refusal.isEmpty();
    }

    /**
     * Returns the request's priority: its organisation's, or its route's where the organisation has
     * none.
     *
     * @return the rank; 0 is the most urgent
     */
    protected int priority() {
        return mRequest.organisation()
                .map(organisation -> organisation.priority().orElse(mRoute.priority()))
                .orElse(mRoute.priority());
    }

    /** Returns the key by which the request is queued: its rank and organisation. */
    protected FlowKey flowKey() {
        return new FlowKey(
                priority(),
                mRequest.organisation().map(Organisation::id).orElse(FlowKey.NO_ORGANISATION));
    }

    /** Starts the first attempt. */
    abstract void start();

    /** Aborts what is in progress at upstreams and releases what is reserved there. */
    protected abstract void releaseUpstream();

    /**
     * Returns whether an upstream may be running the request now.
     *
     * @return whether any byte of it may have been sent to one whose answer has not ended
     */
    protected abstract boolean isAtUpstream();

    /** Returns the time until the request's deadline, at least 1 millisecond. */
    protected long remainingMillis() {
        return mDeadline.remainingMillis();
    }

    /** Returns whether the request is finished. */
    protected boolean isEnded() {
        return mEnded;
    }

    /** Returns the upstreams of the request's service that may receive work. */
    protected List<UpstreamEntry> upstreams(UpstreamEntry.Role role) {
        return mContext.directory().usable(mService).stream()
                .filter(entry -> entry.role() == role)
                .toList();
    }

    /** Records a failed attempt in the trace, the metrics and the state of its upstream. */
    protected void recordFailure(UpstreamEntry upstream, AttemptEnd end) {
        recordAttemptEnd(upstream, end);
        if (end.notStarted() && end.leaving()) {
            mContext.loads().replaced(upstream);
        } else if (!end.notStarted() || end.unreachable()) {
            mContext.loads().failed(upstream, end.neverReached(), end.detail());
        } else if (upstream.role() == UpstreamEntry.Role.DECODE) {
            mContext.loads().runRefused(upstream);
        }
    }

    /** Records a failed or aborted attempt in the trace and the metrics. */
    protected void recordAttemptEnd(UpstreamEntry upstream, AttemptEnd end) {
        mOutcomeTracker.recordAttemptEnd(end);
        mContext.metrics().callFailed(upstream.id(), end);
        mTrace.addStep("failed@" + upstream.id() + "(" + end.detail() + ")");
    }

    /**
     * Continues after a failed call once it is known whether the call was lost because its
     * upstream's process ended. The request may have caused that, so it is not sent to another
     * upstream before.
     *
     * @param writingMillis how long the upstream had written the answer, milliseconds; 0 if it had
     *     not begun
     * @param next receives whether the upstream's process is known to have ended; not called if the
     *     request is finished by then
     */
    protected void afterCrashAttribution(
            UpstreamEntry upstream, AttemptEnd end, long writingMillis, Consumer<Boolean> next) {
        if (end.notStarted() || !end.unreachable()) {
            next.accept(false);
            return;
        }
        mTrace.addTraits(mTraits.content(), mTraits.parts());
        mContext.crashGuard()
                .attributeLoss(
                        upstream,
                        mTraits,
                        writingMillis,
                        ended -> {
                            if (!mEnded) {
                                next.accept(ended);
                            }
                        });
    }

    /**
     * Ends the request if requests with its content or a part of its prompt have crashed several
     * upstreams. To be called before each call that works on the request.
     *
     * @return whether the request must not be run, and is finished
     */
    protected boolean refuseIfQuarantined() {
        Optional<Withholding> withheld = mEnded ? Optional.empty() : withheld();
        if (withheld.isEmpty()) {
            return false;
        }
        String reason = withheld.get().detail();
        mTrace.addTraits(mTraits.content(), mTraits.parts());
        mTrace.markNotable();
        if (isStreaming()) {
            abortStream(reason);
        } else if (withheld.get().provisional()) {
            refuse(ResultCode.PART_SUSPECTED, reason, ServingSettings.RETRY_AFTER_MILLIS);
        } else {
            refuse(ResultCode.REQUEST_QUARANTINED, reason, 0);
        }
        return true;
    }

    /** Returns why the request must not be run again, if requests like it crashed upstreams. */
    protected Optional<Withholding> withheld() {
        return mContext.crashGuard().withhold(mTraits);
    }

    /**
     * Returns whether the request may be sent to another upstream. A call that never reached its
     * upstream, or was received by another upstream at the same address, is no attempt.
     *
     * @return whether the attempts, the time and the budget of extra calls allow it
     */
    protected boolean mayRetry(UpstreamEntry upstream, AttemptEnd end) {
        if (remainingMillis() <= ServingSettings.ANSWER_MARGIN_MILLIS) {
            return false;
        }
        boolean withinLimit =
                mAttempted.withdraw(upstream, end)
                        ? mAttempted.mayMissAnother()
                        : mAttempted.size() < mRoute.maxAttempts();
        return withinLimit && mArrivals.reserve();
    }

    /**
     * Returns whether the request may be sent again to an upstream that already received it, which
     * does not count as a further attempt.
     *
     * @return whether the time and the budget of extra calls allow it
     */
    protected boolean mayResend() {
        return remainingMillis() > ServingSettings.ANSWER_MARGIN_MILLIS && mArrivals.reserve();
    }

    /**
     * Records that a permit for an extra call was requested.
     *
     * @param granted whether the budget granted it
     */
    private void onPermitRequested(boolean granted) {
        mContext.metrics().recordExtraCall(granted);
        recordBudgetUsage();
        if (!granted) {
            mTrace.addStep(BUDGET_USED_UP);
        }
    }

    private void recordBudgetUsage() {
        mContext.metrics()
                .recordBudgetUsage(
                        mService,
                        mContext.extraCallBudget().usage(mService, mContext.loop().millis()));
    }

    /**
     * Returns the upstreams to which the request is not to be sent again.
     *
     * @return those that received it and those that could not be reached
     */
    protected Set<UpstreamIncarnation> excludedUpstreams() {
        return mAttempted.excluded();
    }

    /** Records that the request is sent to be run. */
    protected void recordDispatch(UpstreamEntry upstream, String step) {
        mDispatched = true;
        mAttempted.add(upstream);
        mTrace.addCall(step, upstream);
        mContext.metrics().callSent(upstream.id());
    }

    /**
     * Records a successful answer. One that is not framed does not prove that the upstream bears
     * the request.
     *
     * @param millis the duration of the stage
     * @param framed whether the answer has a length or chunks
     */
    protected void recordSuccess(
            UpstreamEntry upstream, String stage, long millis, boolean framed) {
        mContext.loads().succeeded(upstream);
        if (framed) {
            mContext.crashGuard().recordCompletion(mTraits);
        }
        mContext.metrics().callSucceeded(upstream.id(), stage, millis);
    }

    /**
     * Marks the request as not ordinary if its target is exceeded.
     *
     * @param millis the latency of the answer
     */
    protected void markIfLate(long millis) {
        if (millis > mRoute.targetMillis()) {
            mTrace.markNotable();
        }
    }

    /** Finishes the request after an upstream's complete answer was sent to the caller. */
    protected void finishAnswered() {
        mContext.stopDeadline().recordAnswer(mRoute.name(), mTrace.elapsedMillis());
        finish(RequestTrace.ANSWERED);
    }

    /**
     * Finishes the request with a refusal that holds for all its attempts.
     *
     * @param preferred the code that fits the last step
     * @param retryAfterMillis when the caller should retry, milliseconds; omitted where a retry is
     *     not safe
     */
    protected void refuse(ResultCode preferred, String detail, long retryAfterMillis) {
        if (mEnded) {
            return;
        }
        ResultCode code = mOutcomeTracker.reportableCode(preferred);
        mRefusedAsNotRun = code.family() == ResultCode.Family.NOT_RUN;
        boolean mayRetryLater = mRefusedAsNotRun || mRoute.kind().repeatable();
        mTrace.addStep(code.label() + "(" + detail + ")");
        releaseUpstream();
        mCaller.refuse(code, detail, mayRetryLater ? retryAfterMillis : 0);
        finish(code.label());
    }

    /** Finishes the request by aborting its answer. */
    protected void abortStream(String reason) {
        if (mEnded) {
            return;
        }
        mTrace.addStep("cut(" + reason + ")");
        releaseUpstream();
        mCaller.abort();
        finish("cut");
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        mTrace.addStep("deadline");
        mOutcomeTracker.recordAtUpstream(isAtUpstream());
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
     * Returns whether a stream to the caller was started.
     *
     * @return whether a refusal can no longer be sent
     */
    protected boolean isStreaming() {
        return false;
    }

    private void onCallerDisconnect() {
        if (mEnded) {
            return;
        }
        releaseUpstream();
        finish("caller-gone");
    }

    /**
     * Finishes the request.
     *
     * @param outcome the outcome, for the log and the metrics
     */
    private void finish(String outcome) {
        mEnded = true;
        mDeadline.cancel();
        if (!mDispatched || mRefusedAsNotRun) {
            mUsageCharge.refund();
        }
        mArrivals.close();
        mTrace.addExtraCalls(mArrivals.extraCalls());
        mContext.metrics().recordExtraArrivals(mArrivals.extraCalls());
        mContext.metrics().requestEnded(mRoute.name(), outcome, mTrace.elapsedMillis());
        mContext.decisionLog().requestEnded(mTrace, outcome);
    }
}
