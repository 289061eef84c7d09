package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.troutpier.daemon.decision.MemoryWaitForecast;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.route.EngineTraits;

/**
 * Where one request runs or is going to run: the search for a decode engine with room, the place
 * that was set aside there, and the memory that the request takes. Confined to the traffic loop.
 * Invariants: at most one search is under way; a place is used or released; memory is freed.
 */
final class DecodeReservation {

    /** The collaborators. */
    private final ServingContext mContext;

    /** The service whose engines are looked at. */
    private final String mService;

    /** What the engines can do. */
    private final EngineTraits mTraits;

    /** Who asks. */
    private final FlowKey mFlowKey;

    /** The prompt's length. */
    private final long mPromptTokens;

    /** The prompt's length and the most output. */
    private final long mMaxTokens;

    /** What the run needs at first: the prompt and what was made of the stream before. */
    private long mInitialTokens;

    /** When the last search began, milliseconds. */
    private long mSearchStart;

    /** Looks for a place, or null. */
    private ReservationAllocator.Search mSearch;

    /** The engine that was found, or null. */
    private UpstreamEntry mEngine;

    /** The place that was set aside there and not used yet. */
    private Optional<UpstreamPort.Reservation> mReservation = Optional.empty();

    /** What the request takes at the engine, or null. */
    private EngineMemory mMemory;

    /**
     * Creates a place that is not found yet.
     *
     * @param context the collaborators
     * @param service the service whose engines are looked at
     * @param traits what the engines can do
     * @param asker who asks
     * @param promptTokens the prompt's length
     * @param mostTokens the prompt's length and the most output
     */
    DecodeReservation(
            ServingContext context,
            String service,
            EngineTraits traits,
            FlowKey asker,
            long promptTokens,
            long mostTokens) {
        mContext = context;
        mService = service;
        mTraits = traits;
        mFlowKey = asker;
        mPromptTokens = promptTokens;
        mMaxTokens = mostTokens;
    }

    /**
     * Looks for a place.
     *
     * @param waitMillis how long
     * @param standing who goes first
     * @param events how many events of the stream were made before, which are read again with the
     *     prompt
     * @param engines the engines that may be used, asked again for each round
     * @param listener receives the end; it calls {@link #accept} or {@link #endSearch}
     */
    void search(
            long waitMillis,
            QueueTier standing,
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
                                        mFlowKey,
                                        mInitialTokens,
                                        Math.max(mMaxTokens, mInitialTokens),
                                        growthMarginTokens(),
                                        mTraits.memoryTokens(),
                                        mTraits.reservationMillis(),
                                        waitMillis,
                                        standing,
                                        engines),
                                listener);
    }

    /**
     * Predicts how long it takes until there is room.
     *
     * @param engines the service's decode engines
     * @return milliseconds; 0 where nothing is known
     */
    double predictedWaitMillis(List<UpstreamEntry> engines) {
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
     * Returns how much of an engine's memory stays free for growth.
     *
     * @return tokens
     */
    private double growthMarginTokens() {
        return mContext.growthMargin()
                .tokens(
                        mContext.demandFor(mService).meanOutputTokens(),
                        mMaxTokens - mPromptTokens,
                        mTraits.memoryTokens());
    }

    /**
     * Returns how long the search has taken so far.
     *
     * @return milliseconds
     */
    long searchMillis() {
        return mContext.loop().millis() - mSearchStart;
    }

    /** Records that the search is over. */
    void endSearch() {
        mSearch = null;
        mContext.metrics().reservationWaitChanged(false);
        mContext.metrics().recordStage("place", searchMillis());
    }

    /**
     * Takes the place that the search found.
     *
     * @param engine where it is
     * @param place the place; empty where engines do not set places aside
     */
    void accept(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
        endSearch();
        mEngine = engine;
        mReservation = place;
        mMemory = new EngineMemory(mContext.loads(), engine, mInitialTokens);
    }

    /**
     * Returns the engine that was found.
     *
     * @return the engine
     */
    UpstreamEntry engine() {
        return mEngine;
    }

    /**
     * Hands the place over to the run that uses it.
     *
     * @return the place, if one was set aside
     */
    Optional<UpstreamPort.Reservation> takeReservation() {
        Optional<UpstreamPort.Reservation> place = mReservation;
        mReservation = Optional.empty();
        return place;
    }

    /**
     * Records that the run has grown.
     *
     * @param events how many events it made
     */
    void recordEvents(long events) {
        if (mMemory != null) {
            mMemory.grow(events * mTraits.eventTokens());
        }
    }

    /** Records that the engine's memory is no longer used. */
    void freeMemory() {
        if (mMemory != null) {
            mMemory.free();
            mMemory = null;
        }
    }

    /** Stops the search, frees the memory and gives the place back. */
    void release() {
        if (mSearch != null) {
            mSearch.cancel();
            mSearch = null;
            mContext.metrics().reservationWaitChanged(false);
        }
        freeMemory();
        takeReservation().ifPresent(place -> mContext.port().release(mEngine, place));
    }
}
