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
    protected final Set<UpstreamIncarnation> mTried = new HashSet<>();

    /** Which upstreams never received the request: not reached, or another stood in their place. */
    private final Set<UpstreamIncarnation> mUnreached = new HashSet<>();

    /** What happened, for the log. */
    protected final RequestTrace mTrace;

    /** When it ends at the latest, milliseconds on the loop's clock. */
    private final long mDeadline;

    /** Fires at the deadline. */
    private final TrafficLoop.Timer mTimer;

    /** Whether it has ended. */
    private boolean mOver;

    /** Names what is asked for. */
    private final LazyFingerprint mContent;

    /** Whether it was sent to be run. */
    private boolean mSent;

    /** Whether it was refused as certainly not run. */
    private boolean mNotRun;

    /** What it counts as against its organisation's limit, or 0 where it was not counted. */
    private double mCost;

    /** When it was counted, milliseconds on the loop's clock. */
    private long mCountedAt;

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
        mContent = new LazyFingerprint(request);
        mRoute = route;
        mService = service;
        mCaller = caller;
        mTrace = new RequestTrace(request.id().value(), route.name(), context.loop());
        long held =
                Math.min(
                        route.timeoutMillis(),
                        request.deadlineMillis() - ServingSettings.ANSWER_MARGIN_MILLIS);
        mDeadline = context.loop().millis() + Math.max(1, held);
        mTimer = context.loop().schedule(this::expire, Math.max(1, held));
        mTrace.input("routersHeard", context.peers().peerCount());
        request.organisation().ifPresent(organisation -> mTrace.organisation(organisation.id()));
        context.metrics().began();
        caller.onGone(this::callerGone);
        context.budget().recordRequest(service, context.loop().millis());
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
        mContext.view()
                .whenFresh(
                        () -> {
                            if (!mOver && withinLimit()) {
                                start();
                            }
                        });
    }

    /**
     * Counts the request against its organisation's limit, or refuses it.
     *
     * @return whether it may be served
     */
    private boolean withinLimit() {
        Optional<Organisation> organisation = mRequest.organisation();
        if (organisation.isEmpty()) {
            return true;
        }
        double cost = organisation.get().limit().cost(mRequest.tokens());
        Optional<OrganisationLimiter.Refusal> refusal =
                mContext.organisationLimiter().admit(organisation.get(), cost);
        if (refusal.isPresent()) {
            long returnMillis = refusal.get().returnMillis();
            refuse(ResultCode.USE_LIMIT, refusal.get().detail(), returnMillis);
            return false;
        }
        mCost = cost;
        mCountedAt = mContext.loop().millis();
        return true;
    }

    /** Gives back what the request counted as, where it certainly did not run. */
    private void giveBackUse() {
        if (mCost > 0 && (!mSent || mNotRun)) {
            mRequest.organisation()
                    .ifPresent(
                            each -> mContext.organisationLimiter().refund(each, mCost, mCountedAt));
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
    protected FlowKey asker() {
        return new FlowKey(
                priority(),
                mRequest.organisation().map(Organisation::id).orElse(FlowKey.NO_ORGANISATION));
    }

    /** Looks for an upstream for the first time. */
    abstract void start();

    /** Stops whatever is under way upstream and gives back whatever is held. */
    protected abstract void stopUpstream();

    /**
     * Returns whether an upstream may be working on the request just now.
     *
     * @return whether the request was handed to one and has not come back
     */
    protected abstract boolean atUpstream();

    /**
     * Returns the time that is left.
     *
     * @return milliseconds, at least 1
     */
    protected long leftMillis() {
        return Math.max(1, mDeadline - mContext.loop().millis());
    }

    /**
     * Returns whether the request has ended.
     *
     * @return whether nothing more is to be done
     */
    protected boolean over() {
        return mOver;
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
    protected void learn(UpstreamEntry upstream, AttemptEnd end) {
        mKnowledge.learn(end);
        mContext.metrics().ended(upstream.id(), end.notStarted());
        mTrace.step("failed@" + upstream.id() + "(" + end.detail() + ")");
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
    protected void whenJudged(UpstreamEntry upstream, AttemptEnd end, Consumer<Boolean> next) {
        if (end.notStarted() || !end.unreachable()) {
            next.accept(false);
            return;
        }
        mTrace.content(mContent.get());
        mContext.crashGuard()
                .attributeLoss(
                        upstream,
                        mContent.get(),
                        ended -> {
                            if (!mOver) {
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
    protected boolean withheld() {
        if (mOver || !mContext.crashGuard().isQuarantined(mContent)) {
            return false;
        }
        mTrace.content(mContent.get());
        mTrace.notable();
        String detail = "upstreams ended under what it asks for, " + mContent.get();
        if (streaming()) {
            cut(detail);
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
    protected boolean mayTryAgain(UpstreamEntry upstream, AttemptEnd end) {
        if (leftMillis() <= ServingSettings.ANSWER_MARGIN_MILLIS) {
            return false;
        }
        boolean another = end.notStarted() && end.leaving();
        boolean unreached = end.neverReached();
        if (another || unreached) {
            mTried.remove(upstream.incarnation());
            mUnreached.add(upstream.incarnation());
            boolean more = mUnreached.size() <= ServingSettings.MOST_UNREACHED;
            return more && (unreached || mayCallOnceMore());
        }
        return mTried.size() < mRoute.maxAttempts() && mayCallOnceMore();
    }

    /**
     * Returns whether the request may be sent again to an upstream that had it, which is no further
     * attempt.
     *
     * @return whether time and the budget of extra calls allow it
     */
    protected boolean mayRepeat() {
        return leftMillis() > ServingSettings.ANSWER_MARGIN_MILLIS && mayCallOnceMore();
    }

    /**
     * Returns whether the budget of extra calls allows one more.
     *
     * @return whether it does; it is taken from the budget then
     */
    protected boolean mayCallOnceMore() {
        boolean made = mContext.budget().tryAcquire(mService, mContext.loop().millis());
        mContext.metrics().extraCall(made);
        if (!made) {
            mTrace.step("budget of extra calls is used up");
        }
        return made;
    }

    /**
     * Returns the upstreams that the request is not to be sent to again.
     *
     * @return those that had it and those that could not be reached
     */
    protected Set<UpstreamIncarnation> excluded() {
        Set<UpstreamIncarnation> excluded = new HashSet<>(mTried);
        excluded.addAll(mUnreached);
        return excluded;
    }

    /**
     * Records that the request is sent to be run.
     *
     * @param upstream where to
     * @param step what it is called in the log
     */
    protected void sent(UpstreamEntry upstream, String step) {
        mSent = true;
        mTried.add(upstream.incarnation());
        mTrace.step(step + "@" + upstream.id());
        mContext.metrics().sent(upstream.id());
    }

    /**
     * Records that an upstream answered well.
     *
     * @param upstream the upstream
     * @param stage the stage that is over
     * @param millis how long it took
     */
    protected void succeeded(UpstreamEntry upstream, String stage, long millis) {
        mContext.loads().succeeded(upstream);
        mContext.crashGuard().recordCompletion(mContent);
        mContext.metrics().succeeded(upstream.id(), stage, millis);
    }

    /**
     * Marks the request as late if its target has passed.
     *
     * @param millis how long its answer took to come
     */
    protected void lateAfter(long millis) {
        if (millis > mRoute.targetMillis()) {
            mTrace.notable();
        }
    }

    /** Ends the request after an upstream's whole answer went to the caller. */
    protected void answered() {
        close(RequestTrace.ANSWERED);
    }

    /**
     * Ends the request with a refusal that is true for all its attempts.
     *
     * @param wished the code that fits the last step
     * @param detail what exactly
     * @param retryAfterMillis when to come back, milliseconds
     */
    protected void refuse(ResultCode wished, String detail, long retryAfterMillis) {
        if (mOver) {
            return;
        }
        ResultCode code = mKnowledge.truthful(wished);
        mNotRun = code.family() == ResultCode.Family.NOT_RUN;
        boolean comeBack = mNotRun || mRoute.kind().repeatable();
        mTrace.step(code.label() + "(" + detail + ")");
        stopUpstream();
        mCaller.refuse(code, detail, comeBack ? retryAfterMillis : 0);
        close(code.label());
    }

    /**
     * Ends the request by breaking its answer off.
     *
     * @param reason why, for the log
     */
    protected void cut(String reason) {
        if (mOver) {
            return;
        }
        mTrace.step("cut(" + reason + ")");
        stopUpstream();
        mCaller.cut();
        close("cut");
    }

    /** Ends the request at its deadline. */
    private void expire() {
        if (mOver) {
            return;
        }
        mTrace.step("deadline");
        mKnowledge.mayHaveRun(atUpstream());
        if (streaming()) {
            cut("deadline");
        } else if (atUpstream()) {
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
    protected boolean streaming() {
        return false;
    }

    /** Ends the request after its caller has left. */
    private void callerGone() {
        if (mOver) {
            return;
        }
        stopUpstream();
        close("caller-gone");
    }

    /**
     * Ends the request.
     *
     * @param outcome how, for the log
     */
    private void close(String outcome) {
        mOver = true;
        mTimer.cancel();
        giveBackUse();
        mContext.metrics().ended(mRoute.name(), outcome, mTrace.elapsedMillis());
        mContext.decisions().ended(mTrace, outcome);
    }
}
