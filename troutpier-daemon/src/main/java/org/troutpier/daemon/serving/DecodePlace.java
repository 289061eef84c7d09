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
final class DecodePlace {

    /** The collaborators. */
    private final ServingContext mContext;

    /** The service whose engines are looked at. */
    private final String mService;

    /** What the engines can do. */
    private final EngineTraits mTraits;

    /** Who asks. */
    private final FlowKey mAsker;

    /** The prompt's length. */
    private final long mPromptTokens;

    /** The prompt's length and the most output. */
    private final long mMostTokens;

    /** What the run needs at first: the prompt and what was made of the stream before. */
    private long mNeededTokens;

    /** When the last search began, milliseconds. */
    private long mSearchBegan;

    /** Looks for a place, or null. */
    private ReservationAllocator.Search mSearch;

    /** The engine that was found, or null. */
    private UpstreamEntry mEngine;

    /** The place that was set aside there and not used yet. */
    private Optional<UpstreamPort.Reservation> mPlace = Optional.empty();

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
    DecodePlace(
            ServingContext context,
            String service,
            EngineTraits traits,
            FlowKey asker,
            long promptTokens,
            long mostTokens) {
        mContext = context;
        mService = service;
        mTraits = traits;
        mAsker = asker;
        mPromptTokens = promptTokens;
        mMostTokens = mostTokens;
    }

    /**
     * Looks for a place.
     *
     * @param waitMillis how long
     * @param standing who goes first
     * @param events how many events of the stream were made before, which are read again with the
     *     prompt
     * @param engines the engines that may be used, asked again for each round
     * @param listener receives the end; it calls {@link #take} or {@link #searched}
     */
    void search(
            long waitMillis,
            QueueTier standing,
            long events,
            Supplier<List<UpstreamEntry>> engines,
            ReservationAllocator.Listener listener) {
        mSearchBegan = mContext.loop().millis();
        mNeededTokens = mPromptTokens + events * mTraits.eventTokens();
        mContext.metrics().waitsForPlace(true);
        mSearch =
                mContext.reservations()
                        .find(
                                new ReservationAllocator.Wanted(
                                        mAsker,
                                        mNeededTokens,
                                        Math.max(mMostTokens, mNeededTokens),
                                        marginTokens(),
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
    double predictedMillis(List<UpstreamEntry> engines) {
        UpstreamLoads loads = mContext.loads();
        long used = engines.stream().mapToLong(loads::tokens).sum();
        long waiting = mContext.reservations().waitingTokens() + mContext.peers().waitingTokens();
        MemoryWaitForecast forecast =
                new MemoryWaitForecast(
                        engines.size(),
                        used,
                        mTraits.memoryTokens() - marginTokens(),
                        waiting,
                        mContext.demanded(mService).meanRunMillis());
        return forecast.waitMillis(mPromptTokens);
    }

    /**
     * Returns how much of an engine's memory stays free for growth.
     *
     * @return tokens
     */
    private double marginTokens() {
        return mContext.margin()
                .tokens(
                        mContext.demanded(mService).meanOutputTokens(),
                        mMostTokens - mPromptTokens,
                        mTraits.memoryTokens());
    }

    /**
     * Returns how long the search has taken so far.
     *
     * @return milliseconds
     */
    long searchedMillis() {
        return mContext.loop().millis() - mSearchBegan;
    }

    /** Records that the search is over. */
    void searched() {
        mSearch = null;
        mContext.metrics().waitsForPlace(false);
        mContext.metrics().stage("place", searchedMillis());
    }

    /**
     * Takes the place that the search found.
     *
     * @param engine where it is
     * @param place the place; empty where engines do not set places aside
     */
    void take(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
        searched();
        mEngine = engine;
        mPlace = place;
        mMemory = new EngineMemory(mContext.loads(), engine, mNeededTokens);
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
    Optional<UpstreamPort.Reservation> use() {
        Optional<UpstreamPort.Reservation> place = mPlace;
        mPlace = Optional.empty();
        return place;
    }

    /**
     * Records that the run has grown.
     *
     * @param events how many events it made
     */
    void grow(long events) {
        if (mMemory != null) {
            mMemory.grow(events * mTraits.eventTokens());
        }
    }

    /** Records that the engine's memory is no longer used. */
    void free() {
        if (mMemory != null) {
            mMemory.free();
            mMemory = null;
        }
    }

    /** Stops the search, frees the memory and gives the place back. */
    void release() {
        if (mSearch != null) {
            mSearch.stop();
            mSearch = null;
            mContext.metrics().waitsForPlace(false);
        }
        free();
        use().ifPresent(place -> mContext.port().release(mEngine, place));
    }
}
