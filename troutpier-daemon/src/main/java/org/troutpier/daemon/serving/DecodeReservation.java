package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
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
 * The decode engine of one request: the search for an engine with room, the slot and memory
 * reserved there, and the memory that the request takes. Confined to the traffic loop. Invariants:
 * at most one search is in progress; a reservation is used or released; memory is freed.
 */
final class DecodeReservation {

    private final ServingContext mContext;

    private final String mService;

    private final EngineTraits mTraits;

    private final FlowKey mFlowKey;

    private final long mPromptTokens;

    /** The prompt's length and the maximum output, in tokens. */
    private final long mMaxTokens;

    /** The caller's guess of the output, in tokens; 0 if there is none. */
    private final long mHintTokens;

    /** The distribution of the output of any run of the service, or null. */
    private OutputDistribution mUsualOutput;

    /** The distribution of the request's output, or null. */
    private OutputDistribution mOutput;

    /** What the run needs at its start, in tokens: the prompt and the output of earlier runs. */
    private long mInitialTokens;

    /** When the last search began, milliseconds on the loop's clock. */
    private long mSearchStart;

    /** The search in progress, or null. */
    private ReservationAllocator.Search mSearch;

    /** The engine that was found, or null. */
    private UpstreamEntry mEngine;

    /** The reservation while no run uses it. */
    private Optional<UpstreamPort.Reservation> mReservation = Optional.empty();

    /** What the request takes at the engine, or null. */
    private EngineMemory mMemory;

    /**
     * Creates an instance without a reservation.
     *
     * @param service the service whose engines are searched
     * @param traits the capabilities of the engines
     * @param maxTokens the prompt's length and the maximum output
     * @param hintTokens the caller's guess of the output; 0 if there is none
     */
    DecodeReservation(
            ServingContext context,
            String service,
            EngineTraits traits,
            FlowKey flowKey,
            long promptTokens,
            long maxTokens,
            long hintTokens) {
        mContext = context;
        mService = service;
        mTraits = traits;
        mFlowKey = flowKey;
        mPromptTokens = promptTokens;
        mMaxTokens = maxTokens;
        mHintTokens = hintTokens;
    }

    /**
     * Searches for an engine with room.
     *
     * @param waitMillis how long to search
     * @param tier the queue tier of the request
     * @param events the events of earlier runs, which the engine has to process with the prompt
     * @param engines the engines that may be used, queried again in each round
     * @param listener receives the outcome; it calls {@link #accept} or {@link #endSearch}
     */
    void search(
            long waitMillis,
            QueueTier tier,
            long events,
            Supplier<List<UpstreamEntry>> engines,
            ReservationAllocator.Listener listener) {
        mSearchStart = mContext.loop().millis();
        mInitialTokens = mPromptTokens + events * mTraits.eventTokens();
        mContext.metrics().reservationWaitChanged(true);
        mSearch =
                mContext.reservations()
                        .search(
                                new ReservationAllocator.Requirements(
                                        mService,
                                        claim(tier, waitMillis, mInitialTokens),
                                        mInitialTokens,
                                        Math.max(mMaxTokens, mInitialTokens),
                                        engineRoom(),
                                        mTraits.reservationMillis(),
                                        waitMillis,
                                        engines),
                                listener);
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
            return roomForecast(engines, claim(tier, waitMillis, mPromptTokens))
                    .waitMillis(mPromptTokens);
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
        return forecast.waitMillis(mPromptTokens);
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
        Claim claim = claim(QueueTier.LATE, limitMillis, mPromptTokens);
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
        double neededTokens = servedBefore.cost() + mPromptTokens;
        MemoryAdmission room = engineRoom();
        long required = claim.tier() == QueueTier.IN_TIME ? mPromptTokens : 2 * mPromptTokens;
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
                tokens += mPromptTokens;
                roomTokens += mPromptTokens;
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

    private Claim claim(QueueTier tier, long waitMillis, long tokens) {
        return new Claim(tier, mFlowKey, mContext.loop().millis() + waitMillis, tokens);
    }

    private MemoryAdmission engineRoom() {
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
                            mContext.demandFor(mService).outputSample(),
                            mMaxTokens - mPromptTokens);
        }
        return mUsualOutput;
    }

    /** Returns the distribution of the request's output, as of the first call. */
    private OutputDistribution output() {
        if (mOutput == null) {
            mOutput =
                    new OutputDistribution(
                            mContext.demandFor(mService).outputSample(),
                            mMaxTokens - mPromptTokens,
                            mHintTokens);
        }
        return mOutput;
    }

    /** Records the output of the request after its run was completed. */
    void recordOutput(long outputTokens) {
        if (mContext.load().growthForecast()) {
            long now = mContext.loop().millis();
            mContext.demandMeter().recordOutput(mService, outputTokens, mHintTokens, now);
        }
    }

    /** Returns how much of an engine's memory stays free for the growth of running requests. */
    private double growthMarginTokens() {
        return mContext.growthMargin()
                .tokens(
                        mContext.demandFor(mService).meanOutputTokens(),
                        mMaxTokens - mPromptTokens,
                        mTraits.memoryTokens());
    }

    /** Returns the duration of the search so far, in milliseconds. */
    long searchMillis() {
        return mContext.loop().millis() - mSearchStart;
    }

    /** Records that the search has ended. */
    void endSearch() {
        mSearch = null;
        mContext.metrics().reservationWaitChanged(false);
        mContext.metrics().recordStage("place", searchMillis());
    }

    /**
     * Ends the search with a reservation.
     *
     * @param engine the engine that granted it
     * @param reservation the reservation; empty where the engines do not support reservations
     */
    void accept(UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
        endSearch();
        mEngine = engine;
        mReservation = reservation;
        mMemory = new EngineMemory(mContext.loads(), engine, mInitialTokens, beginRun(engine));
    }

    private Optional<ActiveRuns.Run> beginRun(UpstreamEntry engine) {
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
                        mPromptTokens,
                        mInitialTokens - mPromptTokens));
    }

    /** Returns the engine of the reservation that was accepted last. */
    UpstreamEntry engine() {
        return mEngine;
    }

    /**
     * Hands the reservation over to the run that uses it; {@link #release} no longer releases it.
     *
     * @return the reservation; empty where there is none
     */
    Optional<UpstreamPort.Reservation> takeReservation() {
        Optional<UpstreamPort.Reservation> reservation = mReservation;
        mReservation = Optional.empty();
        return reservation;
    }

    /** Records the memory of new events of the run. */
    void recordEvents(long events) {
        if (mMemory != null) {
            mMemory.grow(events * mTraits.eventTokens());
        }
    }

    /** Records that the request no longer takes memory at the engine. */
    void freeMemory() {
        if (mMemory != null) {
            mMemory.free();
            mMemory = null;
        }
    }

    /** Cancels the search, frees the memory and releases the reservation. */
    void release() {
        if (mSearch != null) {
            mSearch.cancel();
            mSearch = null;
            mContext.metrics().reservationWaitChanged(false);
        }
        freeMemory();
        takeReservation().ifPresent(reservation -> mContext.port().release(mEngine, reservation));
    }
}
