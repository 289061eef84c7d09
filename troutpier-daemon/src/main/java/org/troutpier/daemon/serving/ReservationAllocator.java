package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.admission.FairQueue;
import org.troutpier.daemon.cluster.LoadView;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Finds memory for requests at decode engines before their prompts are read. The engines themselves
 * set it aside, so routers that know nothing of each other never give the same memory twice.
 * Confined to the traffic loop. Invariant: each search ends once: granted, refused or stopped; a
 * place that is granted after the search was stopped is given back.
 */
public final class ReservationAllocator {

    /**
     * How long an engine that refused is not asked again by this router, milliseconds: with a few
     * dozen requests leaving an engine in a second, room comes about that often.
     */
    private static final long FULL_RETRY_MILLIS = 30;

    /** How long a place is kept for its prompt to be read, milliseconds. */
    private static final int RESERVATION_MILLIS = 1000;

    /** Organisations share places evenly. */
    private static final FairQueue.Weights EQUAL_WEIGHTS = partner -> 1;

    /** The collaborators that it shares with the executions. */
    private final TrafficLoop mLoop;

    /** Asks engines for places. */
    private final UpstreamPort mPort;

    /** What is under way at each engine. */
    private final UpstreamLoads mLoads;

    /** Admits calls to engines. */
    private final UpstreamAdmission mAdmission;

    /** Has engines chosen by what the other routers have under way now. */
    private final LoadView mLoadView;

    /** Spreads repeated questions. */
    private final RandomGenerator mRandom;

    /** Until when each engine is taken to be full, milliseconds on the loop's clock. */
    private final Map<UpstreamIncarnation, Long> mFullUntil = new HashMap<>();

    /**
     * The searches that wait for room, by standing. Within one, organisations take turns by the
     * tokens that they were given, so that one's flood does not take the room of the others; an
     * organisation's own go by age.
     */
    private final Map<QueueTier, FairQueue<Search>> mWaiting = new EnumMap<>(QueueTier.class);

    /** How many searches there were. */
    private long mNextSequence;

    /** Whether those that wait are about to look again. */
    private boolean mRetryScheduled;

    /**
     * Creates an allocator.
     *
     * @param loop the traffic loop
     * @param port asks engines for places
     * @param loads what is under way at each engine
     * @param admission admits calls to engines
     * @param view has engines chosen by what the other routers have under way now
     * @param random spreads repeated questions
     */
    public ReservationAllocator(
            TrafficLoop loop,
            UpstreamPort port,
            UpstreamLoads loads,
            UpstreamAdmission admission,
            LoadView view,
            RandomGenerator random) {
        mLoadView = view;
        mLoop = loop;
        mPort = port;
        mLoads = loads;
        mAdmission = admission;
        mRandom = random;
        for (QueueTier standing : QueueTier.values()) {
            mWaiting.put(standing, new FairQueue<>());
        }
    }

    /** Receives how a search ends, on the traffic loop. */
    public interface Listener {

        /**
         * Receives a place. The run is admitted at the engine, and the prompt's tokens are taken
         * there from now on; the listener gives these back.
         *
         * @param engine where it is
         * @param place the place; empty where engines do not set places aside
         */
        void onGranted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place);

        /**
         * Called when no place was found in time.
         *
         * @param detail what was tried
         */
        void onRefused(String detail);
    }

    /**
     * What is looked for. Immutable.
     *
     * @param flowKey who asks
     * @param promptTokens the prompt's length
     * @param maxTokens the prompt's length and the most output
     * @param growthMarginTokens how much of an engine's memory stays free for growth
     * @param memoryTokens how much memory an engine has
     * @param maxReservationMillis how long engines set places aside at most; 0 where they do not
     * @param waitMillis how long to look
     * @param tier who goes first
     * @param engines the engines that may be used, asked again for each round
     */
    public record Requirements(
            FlowKey flowKey,
            long promptTokens,
            long maxTokens,
            double growthMarginTokens,
            long memoryTokens,
            int maxReservationMillis,
            long waitMillis,
            QueueTier tier,
            Supplier<List<UpstreamEntry>> engines) {}

    /**
     * Looks for a place.
     *
     * @param wanted what is looked for
     * @param listener receives the end
     * @return the search, to stop it
     */
    public Search search(Requirements wanted, Listener listener) {
        Search search = new Search(wanted, listener);
        search.startRound();
        return search;
    }

    /**
     * Returns how much the requests need that wait for room here.
     *
     * @return the tokens of their prompts
     */
    public long waitingTokens() {
        long[] tokens = new long[1];
        for (FairQueue<Search> queue : mWaiting.values()) {
            queue.forEach(search -> tokens[0] += search.mRequirements.promptTokens());
        }
        return tokens[0];
    }

    /**
     * Lets a search wait until there may be room.
     *
     * @param search the search
     */
    private void enqueue(Search search) {
        Requirements wanted = search.mRequirements;
        queue(search)
                .add(
                        wanted.flowKey().organisation(),
                        search,
                        search.mSequence,
                        wanted.promptTokens());
        if (!mRetryScheduled) {
            mRetryScheduled = true;
            mLoop.schedule(
                    () -> mLoadView.whenFresh(this::retryWaiting),
                    FULL_RETRY_MILLIS / 2 + mRandom.nextLong(FULL_RETRY_MILLIS / 2));
        }
    }

    /** Has all look again that wait, in their order. */
    private void retryWaiting() {
        mRetryScheduled = false;
        List<Search> waiting = new ArrayList<>();
        mWaiting.values().forEach(queue -> waiting.addAll(queue.drain(EQUAL_WEIGHTS)));
        waiting.forEach(Search::startRound);
    }

    /**
     * Returns where a search waits.
     *
     * @param search the search
     * @return the queue of its standing
     */
    private FairQueue<Search> queue(Search search) {
        return mWaiting.get(search.mRequirements.tier());
    }

    /**
     * Forgets engines that are no longer listed.
     *
     * @param listed the ids that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        mFullUntil.keySet().retainAll(listed);
    }

    /** One search. Confined to the traffic loop. */
    public final class Search {

        /** What is looked for. */
        private final Requirements mRequirements;

        /** Receives the end. */
        private final Listener mListener;

        /** When the search gives up, milliseconds on the loop's clock. */
        private final long mDeadline;

        /** Which search it is, in the order in which they began. */
        private final long mSequence = mNextSequence++;

        /** Which engines were asked in this round. */
        private final Set<UpstreamIncarnation> mTriedEngines = new HashSet<>();

        /**
         * The engines that could be asked when any could last. A search may end a moment after the
         * last that may be asked, and its refusal is to name who refused.
         */
        private List<UpstreamEntry> mLastCandidates = List.of();

        /** How many refusals there were. */
        private int mRefusalCount;

        /** Whether the search has ended. */
        private boolean mEnded;

        /**
         * Creates a search.
         *
         * @param wanted what is looked for
         * @param listener receives the end
         */
        private Search(Requirements wanted, Listener listener) {
            mRequirements = wanted;
            mListener = listener;
            mDeadline = mLoop.millis() + wanted.waitMillis();
        }

        /** Stops the search; its listener receives no more. */
        public void cancel() {
            mEnded = true;
            queue(this).remove(mRequirements.flowKey().organisation(), this);
        }

        /** Begins a round over all engines. */
        private void startRound() {
            mTriedEngines.clear();
            tryNextEngine();
        }

        /** Asks the next engine of the round, or waits for the next round. */
        private void tryNextEngine() {
            if (mEnded) {
                return;
            }
            long now = mLoop.millis();
            List<UpstreamEntry> engines = mRequirements.engines().get();
            if (!engines.isEmpty()) {
                mLastCandidates = engines;
            }
            for (UpstreamEntry engine : mLoads.byTokens(engines, mTriedEngines)) {
                boolean full = mFullUntil.getOrDefault(engine.incarnation(), now) > now;
                if (!full
                        && hasRoom(engine)
                        && mAdmission.tryAcquire(engine, mRequirements.flowKey())) {
                    reserve(engine);
                    return;
                }
            }
            if (now + FULL_RETRY_MILLIS > mDeadline) {
                mEnded = true;
                mListener.onRefused(refusalDetail());
                return;
            }
            enqueue(this);
        }

        /**
         * Tells what the refusal was decided by.
         *
         * @return what was needed, and what is known of the engine with the least in use
         */
        private String refusalDetail() {
            String needed =
                    "no place after "
                            + mRefusalCount
                            + " refusals: "
                            + mRequirements.promptTokens()
                            + "+"
                            + (long) mRequirements.growthMarginTokens()
                            + " tokens of "
                            + mRequirements.memoryTokens();
            List<UpstreamEntry> engines = mLoads.byTokens(mLastCandidates, Set.of());
            return engines.isEmpty()
                    ? needed + ", no engine may be asked"
                    : needed
                            + ", least used "
                            + engines.get(0).id()
                            + " known "
                            + mLoads.tokens(engines.get(0))
                            + " in "
                            + mLoads.calls(engines.get(0))
                            + " calls";
        }

        /**
         * Returns whether an engine has a free slot, and room for the prompt and for the growth of
         * what runs there.
         *
         * @param engine the engine
         * @return whether to ask it; where nobody else's use is known the engine alone decides
         */
        private boolean hasRoom(UpstreamEntry engine) {
            if (!mLoads.hasPeerReports()) {
                return true;
            }
            boolean slot = mLoads.calls(engine) < engine.slots();
            double full =
                    mLoads.tokens(engine)
                            + mRequirements.promptTokens()
                            + mRequirements.growthMarginTokens();
            return slot && full + headroomTokens() <= mRequirements.memoryTokens();
        }

        /**
         * Returns how much room a late request leaves to one that can be in time, which may come to
         * any router at any moment. With a quarter of the memory left in place of one prompt, as
         * many were in time and twice as many were refused again.
         *
         * @return tokens
         */
        private long headroomTokens() {
            return mRequirements.tier() == QueueTier.IN_TIME ? 0 : mRequirements.promptTokens();
        }

        /**
         * Asks one engine.
         *
         * @param engine the engine
         */
        private void reserve(UpstreamEntry engine) {
            if (mRequirements.maxReservationMillis() == 0) {
                mEnded = true;
                chargeOrganisation();
                mLoads.reserve(engine, mRequirements.promptTokens());
                mListener.onGranted(engine, Optional.empty());
                return;
            }
            mTriedEngines.add(engine.incarnation());
            int millis = Math.min(RESERVATION_MILLIS, mRequirements.maxReservationMillis());
            long tokens =
                    mLoads.hasPeerReports()
                            ? mRequirements.promptTokens()
                            : mRequirements.maxTokens();
            mLoads.reserve(engine, mRequirements.promptTokens());
            mPort.reserve(engine, tokens, millis, new ReservationListener(engine));
        }

        /** Counts the place against the organisation's turn. */
        private void chargeOrganisation() {
            queue(this)
                    .charge(
                            mRequirements.flowKey().organisation(),
                            mRequirements.promptTokens(),
                            EQUAL_WEIGHTS);
        }

        /** Receives an engine's answer. Confined to the traffic loop. */
        private final class ReservationListener
                implements UpstreamPort.ResultListener<UpstreamPort.Reservation> {

            /** Who answers. */
            private final UpstreamEntry mEngine;

            /** When it was asked, milliseconds. */
            private final long mSentAt = mLoop.millis();

            /**
             * Creates a listener.
             *
             * @param engine who answers
             */
            ReservationListener(UpstreamEntry engine) {
                mEngine = engine;
            }

            /** {@inheritDoc} */
            @Override
            public void onNotice(UpstreamNotice notice, UpstreamPort.Verdict verdict) {
                mAdmission.recordNotice(mEngine, notice);
            }

            /** {@inheritDoc} */
            @Override
            public void onResult(UpstreamPort.Reservation place) {
                if (mEnded) {
                    mLoads.end(mEngine, mRequirements.promptTokens());
                    mPort.release(mEngine, place);
                    return;
                }
                mEnded = true;
                chargeOrganisation();
                mListener.onGranted(mEngine, Optional.of(place));
            }

            /** {@inheritDoc} */
            @Override
            public void onFailure(AttemptEnd end) {
                mLoads.end(mEngine, mRequirements.promptTokens());
                mRefusalCount++;
                mFullUntil.put(mEngine.incarnation(), mLoop.millis() + FULL_RETRY_MILLIS);
                if (end.leaving()) {
                    mLoads.replaced(mEngine);
                } else if (end.unreachable()) {
                    mAdmission.refund(mEngine, mSentAt);
                    mLoads.failed(mEngine, true, "no place: " + end.detail());
                }
                tryNextEngine();
            }
        }
    }
}
