package org.troutpier.daemon.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadView;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.waiting.BackfillReservation;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.RoomFinder;
import org.troutpier.daemon.waiting.ServedBefore;
import org.troutpier.daemon.waiting.WaitingOrder;
import org.troutpier.daemon.waiting.WaitingQueue;
import org.troutpier.daemon.waiting.WaitingReport;
import org.troutpier.daemon.waiting.WaitingRequest;

/**
 * Reserves slots and memory at decode engines before the prompts are processed. The engines
 * themselves keep the reservations, so that routers without contact to each other never hand out
 * the same memory twice. Confined to the traffic loop. Invariant: each search ends exactly once:
 * granted, refused or cancelled; a reservation that is granted after the search was cancelled is
 * released.
 */
public final class ReservationAllocator {

    /**
     * How long this router waits before it retries an engine that refused, milliseconds: with a few
     * dozen requests leaving an engine each second, memory becomes free about that often.
     */
    private static final long FULL_RETRY_MILLIS = 30;

    /**
     * How long a reservation is requested for, so that its prompt can be prefilled, milliseconds.
     * Engines may keep it for a shorter time.
     */
    private static final int RESERVATION_MILLIS = 1000;

    private final TrafficLoop mLoop;

    private final UpstreamPort mPort;

    private final UpstreamLoads mLoads;

    private final UpstreamAdmission mAdmission;

    private final LoadView mLoadView;

    private final RandomGenerator mRandom;

    private final WaitingOrder mOrder;

    /** The number of the next search. */
    private long mNextSequence;

    /** The searches that wait for room. */
    private final WaitingQueue<Search> mWaiting;

    /** The searches that wait for their turn in the current round. */
    private final Deque<Search> mRound = new ArrayDeque<>();

    private final BackfillReservation mBackfill;

    private final EngineView mEngineView;

    /** Called when a search waits for the next round. */
    private Runnable mOnWaiting = () -> {};

    /** Whether the waiting searches are scheduled to try again. */
    private boolean mRetryScheduled;

    /**
     * Creates an allocator.
     *
     * @param loadView provides the current load of the other routers before engines are selected
     * @param order decides which of the requests that compete for memory may take it
     */
    public ReservationAllocator(
            TrafficLoop loop,
            UpstreamPort port,
            UpstreamLoads loads,
            UpstreamAdmission admission,
            LoadView loadView,
            RandomGenerator random,
            WaitingOrder order) {
        mOrder = order;
        mEngineView = new EngineView(loads);
        mWaiting = new WaitingQueue<>(order.isShared());
        mBackfill = new BackfillReservation(order);
        mLoadView = loadView;
        mLoop = loop;
        mPort = port;
        mLoads = loads;
        mAdmission = admission;
        mRandom = random;
    }

    /** Receives the outcome of a search, on the traffic loop. */
    public interface Listener {

        /**
         * Called when an engine was found. The run is admitted there, and the prompt's tokens are
         * counted as used there from now on; the listener has to free these tokens.
         *
         * @param reservation the reservation; empty where the engines do not support reservations
         */
        void onGranted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation);

        /**
         * Called when no engine was found in time.
         *
         * @param detail the reason, with what is known of the engines
         */
        void onRefused(String detail);
    }

    /**
     * The requirements of a search. Immutable.
     *
     * @param service the service whose engines are searched
     * @param claim the claim of the request
     * @param promptTokens the prompt's length
     * @param maxTokens the prompt's length and the maximum output
     * @param room decides whether an engine has memory for the request
     * @param maxReservationMillis the longest time for which engines keep a reservation; 0 where
     *     they do not support reservations
     * @param waitMillis how long to search
     * @param engines the engines that may be used, queried again in each round
     */
    public record Requirements(
            String service,
            Claim claim,
            long promptTokens,
            long maxTokens,
            MemoryAdmission room,
            int maxReservationMillis,
            long waitMillis,
            Supplier<List<UpstreamEntry>> engines) {}

    /** Starts a search. */
    public Search search(Requirements requirements, Listener listener) {
        Search search = new Search(requirements, listener);
        mOrder.recordArrival(search.mRequest, mLoop.millis());
        if (search.isPrecededHere()) {
            enqueue(search);
        } else {
            search.startRound();
        }
        return search;
    }

    /**
     * Returns the total demand of the searches that wait for room.
     *
     * @return the tokens of their prompts
     */
    public long waitingTokens() {
        long[] tokens = new long[1];
        mWaiting.forEach(search -> tokens[0] += search.mRequirements.promptTokens());
        return tokens[0];
    }

    /** Adds the searches that wait for engines of a service to what is served before a claim. */
    void addWaiting(String service, ServedBefore servedBefore) {
        mWaiting.addTo(
                servedBefore,
                search ->
                        search.mRequirements.service().equals(service)
                                ? search.mRequirements.claim()
                                : null);
    }

    /**
     * Sets the action for searches that wait, which may reach the other routers with a short delay.
     *
     * @param action the action, run on the traffic loop
     */
    public void onWaiting(Runnable action) {
        mOnWaiting = action;
    }

    /** Returns the report of the searches that wait for room. */
    public WaitingReport waitingReport() {
        if (!mOrder.reportsWaiting()) {
            return WaitingReport.NONE;
        }
        Collection<WaitingRequest> waiting = new ArrayList<>();
        mWaiting.forEach(search -> waiting.add(search.mRequest));
        for (Search search : mRound) {
            if (!search.mEnded) {
                waiting.add(search.mRequest);
            }
        }
        return mOrder.report(waiting, mLoop.millis());
    }

    /**
     * Lets a search wait for the next round. The time until then is random, so that repeated
     * requests to the engines are spread.
     */
    private void enqueue(Search search) {
        mWaiting.add(search.mRequirements.claim(), search, search.mSequence);
        if (mOrder.reportsWaiting()) {
            mOnWaiting.run();
        }
        if (!mRetryScheduled) {
            mRetryScheduled = true;
            mLoop.schedule(
                    () -> mLoadView.whenFresh(this::retryWaiting),
                    FULL_RETRY_MILLIS / 2 + mRandom.nextLong(FULL_RETRY_MILLIS / 2));
        }
    }

    /** Starts another round of all waiting searches, in their order. */
    private void retryWaiting() {
        mRetryScheduled = false;
        mRound.addAll(mOrder.arrange(mWaiting.drain(), search -> search.mRequest, mLoop.millis()));
        while (!mRound.isEmpty()) {
            mRound.poll().startRound();
        }
    }

    /** Discards the state of engines that are no longer listed. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mEngineView.retain(listed);
    }

    /** One search. Confined to the traffic loop. */
    public final class Search {

        private final Requirements mRequirements;

        private final WaitingRequest mRequest;

        private final RoomFinder mRooms;

        private final Listener mListener;

        /** When the search gives up, milliseconds on the loop's clock. */
        private final long mDeadline;

        /** The engines that were tried in the current round. */
        private final Set<UpstreamIncarnation> mTriedEngines = new HashSet<>();

        /**
         * The last non-empty list of engines that could be asked. A search may end shortly after
         * the last moment at which engines may be asked, and its refusal has to name the engines
         * that refused.
         */
        private List<UpstreamEntry> mLastCandidates = List.of();

        private int mRefusalCount;

        /** Orders searches by arrival. */
        private final long mSequence = mNextSequence++;

        private boolean mEnded;

        private Search(Requirements requirements, Listener listener) {
            mRequirements = requirements;
            mRequest = new WaitingRequest(requirements.service(), requirements.claim());
            mRooms =
                    new RoomFinder(
                            mOrder,
                            mBackfill,
                            mEngineView,
                            mRequest,
                            requirements.room(),
                            requirements.promptTokens());
            mListener = listener;
            mDeadline = mLoop.millis() + requirements.waitMillis();
        }

        /** Cancels the search; its listener is not called again. */
        public void cancel() {
            if (!mEnded) {
                mOrder.recordEnd(mRequest, false);
                end();
            }
            mWaiting.remove(mRequirements.claim(), this);
        }

        private void end() {
            mEnded = true;
            mBackfill.recordEnd(mRequest);
        }

        /** Returns whether a search that waits here precedes this one, which can still wait. */
        private boolean isPrecededHere() {
            boolean[] preceded = new boolean[1];
            if (mRequirements.waitMillis() >= FULL_RETRY_MILLIS) {
                mWaiting.forEach(
                        other ->
                                preceded[0] |=
                                        mOrder.precedes(other.mRequest, mRequest, mLoop.millis()));
            }
            return preceded[0];
        }

        /** Starts a round over all engines. */
        private void startRound() {
            mTriedEngines.clear();
            tryNextEngine();
        }

        /** Tries the next engine of the round, or waits for the next round. */
        private void tryNextEngine() {
            if (mEnded) {
                return;
            }
            long now = mLoop.millis();
            List<UpstreamEntry> engines = mRequirements.engines().get();
            if (!engines.isEmpty()) {
                mLastCandidates = engines;
            }
            List<UpstreamEntry> candidates = mLoads.order().byTokens(engines, mTriedEngines);
            for (UpstreamEntry engine : mRooms.usable(candidates, now)) {
                if (mRooms.hasRoom(engine, now)
                        && mAdmission.tryAcquire(engine, mRequirements.claim().flow())) {
                    reserve(engine);
                    return;
                }
            }
            if (now + FULL_RETRY_MILLIS > mDeadline) {
                String detail = refusalDetail() + mOrder.describe(mRequest, now);
                mOrder.recordEnd(mRequest, true);
                end();
                mListener.onRefused(detail);
                return;
            }
            mRooms.recordBlocked(candidates, now);
            enqueue(this);
        }

        /**
         * Returns the detail of the refusal: what was required, and the state of the least used
         * engine.
         */
        private String refusalDetail() {
            String requirement =
                    "no place after "
                            + mRefusalCount
                            + " refusals: "
                            + mRequirements.room().requirement(mRequirements.promptTokens());
            List<UpstreamEntry> engines = mLoads.order().byTokens(mLastCandidates, Set.of());
            return engines.isEmpty()
                    ? requirement + ", no engine may be asked"
                    : requirement
                            + ", least used "
                            + engines.get(0).id()
                            + " known "
                            + mLoads.tokens(engines.get(0))
                            + " in "
                            + mLoads.calls(engines.get(0))
                            + " calls";
        }

        private void recordGrant() {
            end();
            mWaiting.charge(mRequirements.claim());
            mOrder.recordGrant(mRequest, mLoop.millis());
        }

        /** Requests a reservation from one engine. */
        private void reserve(UpstreamEntry engine) {
            if (mRequirements.maxReservationMillis() == 0) {
                recordGrant();
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

        /** Receives an engine's answer. Confined to the traffic loop. */
        private final class ReservationListener
                implements UpstreamPort.ResultListener<UpstreamPort.Reservation> {

            private final UpstreamEntry mEngine;

            /** When the request was sent, milliseconds on the loop's clock. */
            private final long mSentAt = mLoop.millis();

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
            public void onResult(UpstreamPort.Reservation reservation) {
                if (mEnded) {
                    mLoads.end(mEngine, mRequirements.promptTokens());
                    mPort.release(mEngine, reservation);
                    return;
                }
                recordGrant();
                mListener.onGranted(mEngine, Optional.of(reservation));
            }

            /** {@inheritDoc} */
            @Override
            public void onFailure(AttemptEnd end) {
                mLoads.end(mEngine, mRequirements.promptTokens());
                mRefusalCount++;
                mEngineView.recordFull(mEngine, mLoop.millis() + FULL_RETRY_MILLIS);
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
