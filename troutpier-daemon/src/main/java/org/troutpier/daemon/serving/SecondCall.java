package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.plain.SecondCallPolicy;
import org.troutpier.daemon.plain.SilentCalls;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Has a plain request sent to a second upstream beside one that is silent, and records what becomes
 * of silent calls. Confined to the traffic loop. Invariants: the silent call goes on; a second one
 * is sent only with an admission and, where it is an extra one, a permit.
 */
final class SecondCall {

    private static final AttemptEnd SILENT = AttemptEnd.lost("silent");

    private final PlainExecution mExecution;

    private final ServingContext mContext;

    private final SecondCallPolicy mPolicy;

    /** The upstream that turned the request away while it was in progress elsewhere; or null. */
    private UpstreamEntry mTurnedAwayBy;

    /** Why no second call was sent when that was last considered. */
    private String mObstacle = "";

    SecondCall(PlainExecution execution, SecondCallPolicy policy) {
        mExecution = execution;
        mContext = execution.mContext;
        mPolicy = policy;
    }

    /** Starts to watch for silence in a call that was just sent. */
    void watch(PlainAttempt attempt) {
        if (!mPolicy.watches(mExecution.remainingMillis())) {
            return;
        }
        boolean mayBeInTime = mContext.load().plainQueue() && decide().allowed();
        attempt.startSilenceTimer(
                mayBeInTime
                        ? mContext.plainCalls()
                                .secondTryDelayMillis(
                                        mExecution.plainCall(mExecution::otherUpstreams))
                        : mPolicy.silenceMillis());
    }

    private SecondCallPolicy.Verdict decide() {
        return mPolicy.decide(mExecution.progress(mTurnedAwayBy != null));
    }

    /** Records an upstream that turned the request away, to which it may be sent once more. */
    void recordTurnedAway(UpstreamEntry upstream) {
        mTurnedAwayBy = upstream;
    }

    /** Returns the upstream that turned the request away while it was in progress elsewhere. */
    Optional<UpstreamEntry> turnedAwayBy() {
        return Optional.ofNullable(mTurnedAwayBy);
    }

    /** Considers a second call because a call's silence timer has fired. */
    void onSilent(PlainAttempt attempt) {
        if (attempt.markSilent()) {
            counters().begun().inc();
            mExecution
                    .trace()
                    .addStep(
                            "silent@%s for %dms (%s clock, sent %dms ago)"
                                    .formatted(
                                            attempt.upstream().id(),
                                            attempt.silentMillis(),
                                            isPastLimit(attempt) ? "silence" : "target",
                                            attempt.sentMillis()));
        }
        consider(attempt);
    }

    /** Sends the request to a second upstream, or records why not. */
    void consider(PlainAttempt silent) {
        SecondCallPolicy.Verdict verdict = decide();
        if (!verdict.allowed()) {
            recordObstacle(verdict.detail());
        } else if (mExecution.isLossUnexplained()) {
            // considered again once it is known whether the request crashed an upstream
            recordObstacle("a lost call is not explained yet");
        } else if (!trySend(silent, verdict)) {
            silent.startSilenceTimer(mPolicy.nextCheckMillis(silent.sentMillis()));
        }
    }

    /**
     * Sends the request to a second upstream if one has room and the budget allows it.
     *
     * @param verdict to which upstreams it may be sent
     * @return whether it was sent
     */
    private boolean trySend(PlainAttempt silent, SecondCallPolicy.Verdict verdict) {
        boolean again = verdict == SecondCallPolicy.Verdict.SAME_UPSTREAM;
        Supplier<List<UpstreamEntry>> upstreams =
                again ? () -> mExecution.only(mTurnedAwayBy) : mExecution::otherUpstreams;
        if (!mExecution.admitNext(upstreamsWithRoom(silent, upstreams))) {
            recordObstacle("no room elsewhere");
            return false;
        }
        if (mExecution.withheld().isPresent()) {
            mExecution.releaseNext();
            recordObstacle("withheld");
            return false;
        }
        Optional<RequestArrivals.Arrival> arrival = mExecution.mArrivals.begin();
        if (arrival.isEmpty()) {
            mExecution.releaseNext();
            recordObstacle(RequestExecution.BUDGET_USED_UP);
            return false;
        }
        if (again) {
            mExecution.restrictTo(mTurnedAwayBy);
        }
        mObstacle = "";
        reportIfLost(silent);
        mExecution.send(arrival.get(), "second");
        return true;
    }

    private List<UpstreamEntry> upstreamsWithRoom(
            PlainAttempt silent, Supplier<List<UpstreamEntry>> upstreams) {
        if (!mContext.load().plainQueue()) {
            return upstreams.get();
        }
        return mContext.plainCalls()
                .secondUpstreams(
                        silent.upstream(),
                        silent.sentMillis(),
                        mExecution.plainCall(upstreams),
                        !isPastLimit(silent));
    }

    private boolean isPastLimit(PlainAttempt attempt) {
        return mPolicy.isPastLimit(attempt.sentMillis());
    }

    /**
     * Reports an upstream as failed whose call has passed the silence limit, so that new work goes
     * elsewhere. One that is slow or still sends its answer is not ejected: it would leave less
     * room for all others. No crash is attributed either, since the call is not lost.
     */
    private void reportIfLost(PlainAttempt silent) {
        if (!isPastLimit(silent)
                || silent.silentMillis() < mPolicy.targetMillis()
                || !silent.markReportedLost()) {
            return;
        }
        mContext.loads().failed(silent.upstream(), false, SILENT.detail());
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().recordFailure(silent.upstream(), SILENT);
        }
    }

    /** Adds the reason why no second call is sent to the trace, unless it is still the same. */
    private void recordObstacle(String obstacle) {
        if (!obstacle.equals(mObstacle)) {
            mObstacle = obstacle;
            mExecution.trace().addStep("no second call(" + obstacle + ")");
        }
    }

    /** Records that a call was answered. */
    void recordAnswered(PlainAttempt attempt) {
        if (attempt.isSilent()) {
            counters().continued().inc();
            addStep("continued", attempt);
        }
    }

    /**
     * Records that a call was aborted because the other one was answered.
     *
     * @param by the upstream that answered
     */
    void recordReplaced(PlainAttempt attempt, UpstreamEntry by) {
        if (attempt.isSilent()) {
            counters().replaced().inc();
        }
        if (attempt.isReportedLost()) {
            mContext.metrics().callFailed(attempt.upstream().id(), SILENT);
        }
        addStep("answered@" + by.id() + " replaced", attempt);
    }

    /** Records that a call failed, or was aborted because its request ended. */
    void recordEnded(PlainAttempt attempt) {
        if (attempt.isSilent()) {
            counters().ended().inc();
            addStep("ended", attempt);
        }
    }

    private void addStep(String step, PlainAttempt attempt) {
        mExecution
                .trace()
                .addStep(
                        "%s@%s silent for up to %dms"
                                .formatted(
                                        step,
                                        attempt.upstream().id(),
                                        attempt.longestSilenceMillis()));
    }

    private SilentCalls counters() {
        return mContext.plainCalls().silentCalls();
    }
}
