package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportedRuns;
import org.troutpier.daemon.decision.MemoryWaitForecast;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.RoomForecast;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.ActiveRuns;
import org.troutpier.daemon.growth.GrowthForecast;
import org.troutpier.daemon.growth.MemoryAdmission;
import org.troutpier.daemon.growth.OutputDistribution;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.ReturnSchedule;
import org.troutpier.daemon.waiting.ServedBefore;

/**
 * Forecasts the memory of a service's decode engines for one request: whether an engine admits it,
 * how long it waits for one that does, and when its caller should retry. Confined to the traffic
 * loop.
 */
final class EngineMemoryForecast {

    private final ServingContext mContext;

    private final String mService;

    private final EngineTraits mTraits;

    private final FlowKey mFlowKey;

    private final PromptMetadata mPrompt;

    /** The distribution of the output of any run of the service, or null. */
    private OutputDistribution mUsualOutput;

    /** The distribution of the request's output, or null. */
    private OutputDistribution mOutput;

    /**
     * Creates a forecast.
     *
     * @param service the service whose engines are used
     * @param traits the capabilities of the engines
     */
    EngineMemoryForecast(
            ServingContext context,
            String service,
            EngineTraits traits,
            FlowKey flowKey,
            PromptMetadata prompt) {
        mContext = context;
        mService = service;
        mTraits = traits;
        mFlowKey = flowKey;
        mPrompt = prompt;
    }

    /**
     * Predicts how long it takes until an engine has room.
     *
     * @param engines the decode engines of the service
     * @param tier the queue tier of the request
     * @param waitMillis how long the request may wait
     * @return milliseconds; 0 where nothing is known
     */
    double predictedWaitMillis(List<UpstreamEntry> engines, QueueTier tier, long waitMillis) {
        if (mContext.load().orderedForecast()) {
            return roomForecast(engines, claim(tier, waitMillis, mPrompt.promptTokens()))
                    .waitMillis(mPrompt.promptTokens());
        }
        UpstreamLoads loads = mContext.loads();
        long used = engines.stream().mapToLong(loads::tokens).sum();
        long waiting =
                mContext.reservations().waitingTokens() + mContext.peerLoads().waitingTokens();
        MemoryWaitForecast forecast =
                new MemoryWaitForecast(
                        engines.size(),
                        used,
                        mTraits.memoryTokens() - growthMarginTokens(),
                        waiting,
                        mContext.demandFor(mService).meanRunMillis());
        return forecast.waitMillis(mPrompt.promptTokens());
    }

    /**
     * Determines when the caller should retry after a refusal.
     *
     * @param engines the decode engines of the service
     * @param limitMillis the maximum delay, milliseconds
     * @return the delay in milliseconds
     */
    long retryDelayMillis(List<UpstreamEntry> engines, long limitMillis) {
        long now = mContext.loop().millis();
        if (!mContext.load().orderedForecast() || !mContext.loads().hasPeerReports()) {
            return mContext.retryPacer().nextDelayMillis(now, limitMillis);
        }
        Claim claim = claim(QueueTier.LATE, limitMillis, mPrompt.promptTokens());
        RoomForecast forecast = roomForecast(engines, claim);
        if (forecast.freedPerMilli() <= 0) {
            return mContext.retryPacer().nextDelayMillis(now, limitMillis);
        }
        double arrivingPerMilli = mContext.demandFor(mService).recentPromptTokensPerMilli();
        ReturnSchedule.Outlook outlook =
                new ReturnSchedule.Outlook(
                        forecast.leftPerMilli(),
                        arrivingPerMilli >= forecast.freedPerMilli(),
                        forecast.lackingTokens(),
                        mContext.peerLoads().waiting().returning());
        return mContext.returnSchedule().assignDelayMillis(claim, outlook, now, limitMillis);
    }

    /** Forecasts the room at the engines for a claim; room beyond what it needs is not counted. */
    private RoomForecast roomForecast(List<UpstreamEntry> engines, Claim claim) {
        ServedBefore servedBefore = new ServedBefore(claim, mContext.loop().millis());
        mContext.reservations().addWaiting(mService, servedBefore);
        PeerLoads peers = mContext.peerLoads();
        servedBefore.add(peers.waiting(), mService, peers.waitingTokens());
        double neededTokens = servedBefore.cost() + mPrompt.promptTokens();
        MemoryAdmission room = admission();
        long required =
                claim.tier() == QueueTier.IN_TIME
                        ? mPrompt.promptTokens()
                        : 2 * mPrompt.promptTokens();
        long usedTokens = 0;
        long roomTokens = 0;
        for (UpstreamEntry engine : engines) {
            long tokens = mContext.loads().tokens(engine);
            usedTokens += tokens;
            int freeSlots = engine.slots() - mContext.loads().calls(engine);
            for (int run = 0; run < freeSlots && roomTokens < neededTokens; run++) {
                if (!room.admits(engine, tokens, required)) {
                    break;
                }
                tokens += mPrompt.promptTokens();
                roomTokens += mPrompt.promptTokens();
            }
        }
        Demand demand = mContext.demandFor(mService);
        double runMillis = demand.meanRunMillis();
        return new RoomForecast(
                roomTokens,
                servedBefore.cost(),
                runMillis > 0 ? usedTokens / runMillis : 0,
                demand.sustainedPromptTokensPerMilli());
    }

    /**
     * Returns the claim of the request to memory.
     *
     * @param waitMillis how long the request may wait
     * @param tokens what it takes
     */
    Claim claim(QueueTier tier, long waitMillis, long tokens) {
        return new Claim(tier, mFlowKey, mContext.loop().millis() + waitMillis, tokens);
    }

    /** Returns the decision whether an engine has memory for the request. */
    MemoryAdmission admission() {
        if (!mContext.load().growthForecast()) {
            return new MemoryAdmission.ForMargin(growthMarginTokens(), mTraits.memoryTokens());
        }
        return new GrowthForecast(
                mContext.loads().activeRuns(),
                new ReportedRuns(mContext.peerLoads()),
                usualOutput(),
                output(),
                mTraits.memoryTokens(),
                mContext.growthMargin().caution());
    }

    /** Returns the distribution of the output of any run of the service, as of the first call. */
    private OutputDistribution usualOutput() {
        if (mUsualOutput == null) {
            mUsualOutput =
                    OutputDistribution.ofUsual(
                            mContext.demandFor(mService).outputSample(), mPrompt.outputTokens());
        }
        return mUsualOutput;
    }

    /** Returns the distribution of the request's output, as of the first call. */
    private OutputDistribution output() {
        if (mOutput == null) {
            mOutput =
                    new OutputDistribution(
                            mContext.demandFor(mService).outputSample(),
                            mPrompt.outputTokens(),
                            mPrompt.hintTokens());
        }
        return mOutput;
    }

    /** Records the output of the request after its run was completed. */
    void recordOutput(long outputTokens) {
        if (mContext.load().growthForecast()) {
            long now = mContext.loop().millis();
            mContext.demandMeter().recordOutput(mService, outputTokens, mPrompt.hintTokens(), now);
        }
    }

    /** Returns how much of an engine's memory stays free for the growth of running requests. */
    private double growthMarginTokens() {
        return mContext.growthMargin()
                .tokens(
                        mContext.demandFor(mService).meanOutputTokens(),
                        mPrompt.outputTokens(),
                        mTraits.memoryTokens());
    }

    /**
     * Records a run that was admitted; empty where the growth of runs is not forecast.
     *
     * @param initialTokens the prompt and the output of earlier runs of the request
     */
    Optional<ActiveRuns.Run> beginRun(UpstreamEntry engine, long initialTokens) {
        if (!mContext.load().growthForecast()) {
            return Optional.empty();
        }
        double taken = mContext.loads().tokens(engine) + growthMarginTokens();
        mContext.metrics().admittedByForecast(taken > mTraits.memoryTokens());
        ActiveRuns runs = mContext.loads().activeRuns();
        return Optional.of(
                runs.begin(
                        engine.incarnation(),
                        output(),
                        usualOutput().residualMean(),
                        mPrompt.promptTokens(),
                        initialTokens - mPrompt.promptTokens()));
    }
}
