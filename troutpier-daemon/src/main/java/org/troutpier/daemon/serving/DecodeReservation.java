package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.route.EngineTraits;

/**
 * The search for a decode engine with room for one request, and the slot and memory reserved there
 * until a run uses them. Confined to the traffic loop. Invariants: at most one search is in
 * progress; a reservation is used or released; memory is handed over or freed.
 */
final class DecodeReservation {

    private final ServingContext mContext;

    private final String mService;

    private final EngineTraits mTraits;

    private final PromptMetadata mPrompt;

    private final EngineMemoryForecast mForecast;

    /** What the run needs at its start, in tokens: the prompt and the output of earlier runs. */
    private long mInitialTokens;

    /** When the last search began, milliseconds on the loop's clock. */
    private long mSearchStart;

    /** The search in progress, or null. */
    private ReservationAllocator.Search mSearch;

    /** The number of searches begun. */
    private long mSearches;

    /** Whether the search begun last has not ended. */
    private boolean mSearching;

    /** The engine that was found, or null. */
    private UpstreamEntry mEngine;

    /** The reservation while no run uses it. */
    private Optional<UpstreamPort.Reservation> mReservation = Optional.empty();

    /** What the request takes at the engine until a run uses it, or null. */
    private EngineMemory mMemory;

    /**
     * Creates an instance without a reservation.
     *
     * @param service the service whose engines are searched
     * @param traits the capabilities of the engines
     */
    DecodeReservation(
            ServingContext context,
            String service,
            EngineTraits traits,
            FlowKey flowKey,
            PromptMetadata prompt) {
        mContext = context;
        mService = service;
        mTraits = traits;
        mPrompt = prompt;
        mForecast = new EngineMemoryForecast(context, service, traits, flowKey, prompt);
    }

    EngineMemoryForecast forecast() {
        return mForecast;
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
        mInitialTokens = mPrompt.promptTokens() + events * mTraits.eventTokens();
        mContext.metrics().reservationWaitChanged(true);
        mSearching = true;
        long number = ++mSearches;
        ReservationAllocator.Search search =
                mContext.reservations()
                        .search(
                                new ReservationAllocator.Requirements(
                                        mService,
                                        mForecast.claim(tier, waitMillis, mInitialTokens),
                                        mInitialTokens,
                                        Math.max(mPrompt.maxTokens(), mInitialTokens),
                                        mForecast.admission(),
                                        mTraits.reservationMillis(),
                                        waitMillis,
                                        engines),
                                listener);
        // the listener may have been called already, and may have begun another search
        if (mSearching && number == mSearches) {
            mSearch = search;
        }
    }

    /** Returns the duration of the search so far, in milliseconds. */
    long searchMillis() {
        return mContext.loop().millis() - mSearchStart;
    }

    /** Records that the search has ended. */
    void endSearch() {
        mSearch = null;
        mSearching = false;
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
        mMemory =
                new EngineMemory(
                        mContext.loads(),
                        engine,
                        mInitialTokens,
                        mForecast.beginRun(engine, mInitialTokens));
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

    /**
     * Hands the memory over to the run that uses it; {@link #release} no longer frees it.
     *
     * @return the memory that was recorded with the reservation accepted last
     */
    EngineMemory takeMemory() {
        EngineMemory memory = mMemory;
        mMemory = null;
        return memory;
    }

    /** Cancels the search, and releases the reservation and the memory that no run uses. */
    void release() {
        if (mSearch != null) {
            mSearch.cancel();
            mSearch = null;
            mSearching = false;
            mContext.metrics().reservationWaitChanged(false);
        }
        if (mMemory != null) {
            takeMemory().free();
        }
        takeReservation().ifPresent(reservation -> mContext.port().release(mEngine, reservation));
    }
}
