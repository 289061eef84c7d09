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
    private static final long FULL_MILLIS = 30;

    /** How long a place is kept for its prompt to be read, milliseconds. */
    private static final int PLACE_MILLIS = 1000;

    /** Organisations share places evenly. */
    private static final FairQueue.Weights EVENLY = partner -> 1;

    /** The collaborators that it shares with the executions. */
    private final TrafficLoop mLoop;

    /** Asks engines for places. */
    private final UpstreamPort mPort;

    /** What is under way at each engine. */
    private final UpstreamLoads mLoads;

    /** Admits calls to engines. */
    private final UpstreamAdmission mAdmission;

    /** Has engines chosen by what the other routers have under way now. */
    private final LoadView mView;

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
    private long mSearches;

    /** Whether those that wait are about to look again. */
    private boolean mLooking;

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
        mView = view;
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
        void granted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place);

        /**
         * Called when no place was found in time.
         *
         * @param detail what was tried
         */
        void refused(String detail);
    }

    /**
     * What is looked for. Immutable.
     *
     * @param asker who asks
     * @param promptTokens the prompt's length
     * @param mostTokens the prompt's length and the most output
     * @param marginTokens how much of an engine's memory stays free for growth
     * @param memoryTokens how much memory an engine has
     * @param placeMillis how long engines set places aside at most; 0 where they do not
     * @param waitMillis how long to look
     * @param standing who goes first
     * @param engines the engines that may be used, asked again for each round
     */
    public record Wanted(
            FlowKey asker,
            long promptTokens,
            long mostTokens,
            double marginTokens,
            long memoryTokens,
            int placeMillis,
            long waitMillis,
            QueueTier standing,
            Supplier<List<UpstreamEntry>> engines) {}

    /**
     * Looks for a place.
     *
     * @param wanted what is looked for
     * @param listener receives the end
     * @return the search, to stop it
     */
    public Search find(Wanted wanted, Listener listener) {
        Search search = new Search(wanted, listener);
        search.round();
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
            queue.forEach(search -> tokens[0] += search.mWanted.promptTokens());
        }
        return tokens[0];
    }

    /**
     * Lets a search wait until there may be room.
     *
     * @param search the search
     */
    private void await(Search search) {
        Wanted wanted = search.mWanted;
        queue(search)
                .add(wanted.asker().organisation(), search, search.mNumber, wanted.promptTokens());
        if (!mLooking) {
            mLooking = true;
            mLoop.schedule(
                    () -> mView.whenFresh(this::look),
                    FULL_MILLIS / 2 + mRandom.nextLong(FULL_MILLIS / 2));
        }
    }

    /** Has all look again that wait, in their order. */
    private void look() {
        mLooking = false;
        List<Search> waiting = new ArrayList<>();
        mWaiting.values().forEach(queue -> waiting.addAll(queue.drain(EVENLY)));
        waiting.forEach(Search::round);
    }

    /**
     * Returns where a search waits.
     *
     * @param search the search
     * @return the queue of its standing
     */
    private FairQueue<Search> queue(Search search) {
        return mWaiting.get(search.mWanted.standing());
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
        private final Wanted mWanted;

        /** Receives the end. */
        private final Listener mListener;

        /** When the search gives up, milliseconds on the loop's clock. */
        private final long mUntil;

        /** Which search it is, in the order in which they began. */
        private final long mNumber = mSearches++;

        /** Which engines were asked in this round. */
        private final Set<UpstreamIncarnation> mAsked = new HashSet<>();

        /**
         * The engines that could be asked when any could last. A search may end a moment after the
         * last that may be asked, and its refusal is to name who refused.
         */
        private List<UpstreamEntry> mOffered = List.of();

        /** How many refusals there were. */
        private int mRefusals;

        /** Whether the search has ended. */
        private boolean mOver;

        /**
         * Creates a search.
         *
         * @param wanted what is looked for
         * @param listener receives the end
         */
        private Search(Wanted wanted, Listener listener) {
            mWanted = wanted;
            mListener = listener;
            mUntil = mLoop.millis() + wanted.waitMillis();
        }

        /** Stops the search; its listener receives no more. */
        public void stop() {
            mOver = true;
            queue(this).remove(mWanted.asker().organisation(), this);
        }

        /** Begins a round over all engines. */
        private void round() {
            mAsked.clear();
            next();
        }

        /** Asks the next engine of the round, or waits for the next round. */
        private void next() {
            if (mOver) {
                return;
            }
            long now = mLoop.millis();
            List<UpstreamEntry> engines = mWanted.engines().get();
            if (!engines.isEmpty()) {
                mOffered = engines;
            }
            for (UpstreamEntry engine : mLoads.byTokens(engines, mAsked)) {
                boolean full = mFullUntil.getOrDefault(engine.incarnation(), now) > now;
                if (!full && hasRoom(engine) && mAdmission.tryAcquire(engine, mWanted.asker())) {
                    ask(engine);
                    return;
                }
            }
            if (now + FULL_MILLIS > mUntil) {
                mOver = true;
                mListener.refused(why());
                return;
            }
            await(this);
        }

        /**
         * Tells what the refusal was decided by.
         *
         * @return what was needed, and what is known of the engine with the least in use
         */
        private String why() {
            String needed =
                    "no place after "
                            + mRefusals
                            + " refusals: "
                            + mWanted.promptTokens()
                            + "+"
                            + (long) mWanted.marginTokens()
                            + " tokens of "
                            + mWanted.memoryTokens();
            List<UpstreamEntry> engines = mLoads.byTokens(mOffered, Set.of());
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
            double full = mLoads.tokens(engine) + mWanted.promptTokens() + mWanted.marginTokens();
            return slot && full + leftToOthers() <= mWanted.memoryTokens();
        }

        /**
         * Returns how much room a late request leaves to one that can be in time, which may come to
         * any router at any moment. With a quarter of the memory left in place of one prompt, as
         * many were in time and twice as many were refused again.
         *
         * @return tokens
         */
        private long leftToOthers() {
            return mWanted.standing() == QueueTier.IN_TIME ? 0 : mWanted.promptTokens();
        }

        /**
         * Asks one engine.
         *
         * @param engine the engine
         */
        private void ask(UpstreamEntry engine) {
            if (mWanted.placeMillis() == 0) {
                mOver = true;
                charge();
                mLoads.reserve(engine, mWanted.promptTokens());
                mListener.granted(engine, Optional.empty());
                return;
            }
            mAsked.add(engine.incarnation());
            int millis = Math.min(PLACE_MILLIS, mWanted.placeMillis());
            long tokens = mLoads.hasPeerReports() ? mWanted.promptTokens() : mWanted.mostTokens();
            mLoads.reserve(engine, mWanted.promptTokens());
            mPort.reserve(engine, tokens, millis, new Answer(engine));
        }

        /** Counts the place against the organisation's turn. */
        private void charge() {
            queue(this).charge(mWanted.asker().organisation(), mWanted.promptTokens(), EVENLY);
        }

        /** Receives an engine's answer. Confined to the traffic loop. */
        private final class Answer
                implements UpstreamPort.ResultListener<UpstreamPort.Reservation> {

            /** Who answers. */
            private final UpstreamEntry mEngine;

            /** When it was asked, milliseconds. */
            private final long mAskedAt = mLoop.millis();

            /**
             * Creates a listener.
             *
             * @param engine who answers
             */
            Answer(UpstreamEntry engine) {
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
                if (mOver) {
                    mLoads.end(mEngine, mWanted.promptTokens());
                    mPort.release(mEngine, place);
                    return;
                }
                mOver = true;
                charge();
                mListener.granted(mEngine, Optional.of(place));
            }

            /** {@inheritDoc} */
            @Override
            public void onFailure(AttemptEnd end) {
                mLoads.end(mEngine, mWanted.promptTokens());
                mRefusals++;
                mFullUntil.put(mEngine.incarnation(), mLoop.millis() + FULL_MILLIS);
                if (end.leaving()) {
                    mLoads.replaced(mEngine);
                } else if (end.unreachable()) {
                    mAdmission.refund(mEngine, mAskedAt);
                    mLoads.failed(mEngine, true, "no place: " + end.detail());
                }
                next();
            }
        }
    }
}
