package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.FailureRate;
import org.troutpier.daemon.decision.SlidingWindowSum;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.ActiveRuns;

/**
 * Tracks the calls and tokens that this router has in flight at each upstream, and ejects upstreams
 * whose calls fail. Confined to the traffic loop. Invariant: an ejected upstream is tried again
 * after at most {@link #MAX_EJECTION_MILLIS}; if all candidates are ejected, the one whose ejection
 * ends first is used.
 */
public final class UpstreamLoads {

    /**
     * Consecutive failures after which an upstream is ejected. At a failure rate of one in seven,
     * two in a row happen by chance.
     */
    private static final int CONSECUTIVE_FAILURES = 4;

    /**
     * Duration of the first ejection for consecutive failures or because the upstream is
     * unreachable, milliseconds.
     */
    private static final long MIN_EJECTION_MILLIS = 500;

    private static final long MAX_EJECTION_MILLIS = 4000;

    /**
     * Window over which call outcomes are counted, milliseconds: long enough that all routers
     * together send an upstream enough calls to recognise one that fails most of them.
     */
    private static final long OUTCOME_WINDOW_MILLIS = 3000;

    private static final int OUTCOME_WINDOW_BUCKETS = 6;

    /**
     * Relative jitter of an ejection that is based on the outcomes of all routers, so that they
     * return to the upstream one after another and the first one informs the rest.
     */
    private static final double EJECTION_JITTER = 0.5;

    /** Ejection after an engine refused a prefill, milliseconds. */
    private static final long REFUSAL_EJECTION_MILLIS = 250;

    /**
     * Ejection after another upstream answered at the address, milliseconds. An entry expires after
     * three missed heartbeats, which take 3.6 s at the users' sites.
     */
    private static final long REPLACEMENT_EJECTION_MILLIS = 4000;

    /** Consecutive refused runs after which a decode engine counts as refusing runs. */
    private static final int CONSECUTIVE_RUN_REFUSALS = 2;

    /**
     * Initial time for which a decode engine counts as refusing runs, milliseconds; a role change
     * takes several seconds.
     */
    private static final long MIN_RUN_REFUSAL_MILLIS = 1000;

    /**
     * How long usage reported by an engine remains valid, milliseconds: three polling intervals.
     */
    private static final long UNATTRIBUTED_TTL_MILLIS = 1200;

    /** Cost of a call to another hall, as a fraction of the upstream's slots. */
    private static final double CROSS_HALL_COST = 0.15;

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLoads.class);

    private final ActiveRuns mActiveRuns = new ActiveRuns();

    private final Map<UpstreamIncarnation, Load> mLoads = new HashMap<>();

    private final TrafficLoop mLoop;

    /** Breaks ties between upstreams of equal cost. */
    private final RandomGenerator mRandom;

    /** The hall of this router. */
    private final HallId mHall;

    /** Usage reported by the other routers. */
    private final PeerLoads mPeers;

    /** Called when a change must reach the other routers immediately. */
    private Runnable mOnUrgentChange = () -> {};

    /** Called when a change may reach the other routers with a short delay. */
    private Runnable mOnChange = () -> {};

    /**
     * Called when a running call takes more tokens, which may reach the other routers with a longer
     * delay.
     */
    private Runnable mOnTokensAdded = () -> {};

    /** Engines whose role this router is changing. */
    private volatile Set<UpstreamIncarnation> mChangingEngines = Set.of();

    /** State of one upstream. */
    private static final class Load {

        /** Calls in flight. */
        private int mCalls;

        /** Tokens of the calls in flight. */
        private long mTokens;

        /** Tokens reported by the engine beyond those that the routers account for. */
        private long mUnattributedTokens;

        /** When they were reported, milliseconds. */
        private long mUnattributedAt;

        /** Whether this router reports them to the others. */
        private boolean mUnattributedShared;

        private int mConsecutiveFailures;

        /** End of the ejection, milliseconds; 0 if not ejected. */
        private long mEjectedUntil;

        /** Duration of the last ejection, milliseconds. */
        private long mEjectionMillis;

        /**
         * Until when another upstream is assumed to answer at the address, milliseconds; 0 if none
         * is.
         */
        private long mReplacedUntil;

        /** The role that the upstream was listed with when another one answered. */
        private UpstreamEntry.Role mReplacedRole;

        /** Recent failed calls, without those that found the upstream unreachable. */
        private final SlidingWindowSum mRecentFailures =
                new SlidingWindowSum(OUTCOME_WINDOW_MILLIS, OUTCOME_WINDOW_BUCKETS);

        /** Recent successful calls. */
        private final SlidingWindowSum mRecentSuccesses =
                new SlidingWindowSum(OUTCOME_WINDOW_MILLIS, OUTCOME_WINDOW_BUCKETS);

        private int mConsecutiveRunRefusals;

        /** Until when it counts as refusing runs, milliseconds; 0 if it does not. */
        private long mRefusingRunsUntil;

        /**
         * Returns until when the engine accepts no run.
         *
         * @return milliseconds; a time in the past if it accepts runs
         */
        private long refusesRunsUntil() {
            boolean engine = mReplacedRole == UpstreamEntry.Role.DECODE;
            return engine ? Math.max(mReplacedUntil, mRefusingRunsUntil) : mRefusingRunsUntil;
        }

        /**
         * Returns when the ejection of the upstream ends.
         *
         * @return milliseconds; a time in the past if it is not ejected
         */
        private long ejectedUntil(UpstreamEntry entry) {
            boolean replaced = entry.role() == mReplacedRole;
            return replaced ? Math.max(mReplacedUntil, mEjectedUntil) : mEjectedUntil;
        }
    }

    /** Creates a tracker without any upstream. */
    public UpstreamLoads(TrafficLoop loop, RandomGenerator random, HallId hall, PeerLoads peers) {
        mPeers = peers;
        mLoop = loop;
        mRandom = random;
        mHall = hall;
    }

    /**
     * Sets the action for changes that must reach the other routers immediately: memory was
     * reserved, or an engine refuses runs.
     *
     * @param action the action, run on the traffic loop
     */
    public void onUrgentChange(Runnable action) {
        mOnUrgentChange = action;
    }

    /**
     * Sets the action for changes that may reach the other routers with a short delay.
     *
     * @param action the action, run on the traffic loop
     */
    public void onChange(Runnable action) {
        mOnChange = action;
    }

    /**
     * Sets the action for running calls that take more tokens.
     *
     * @param action the action, run on the traffic loop
     */
    public void onTokensAdded(Runnable action) {
        mOnTokensAdded = action;
    }

    /**
     * Records a call that reserves memory at an engine, and notifies the other routers immediately:
     * two routers that request the same memory at the same time would otherwise both get it.
     */
    public void reserve(UpstreamEntry engine, long tokens) {
        add(engine, tokens);
        mOnUrgentChange.run();
    }

    /**
     * Records the start of a call.
     *
     * @param tokens the tokens of the call; 0 for a call to a plain service
     */
    public void begin(UpstreamEntry upstream, long tokens) {
        add(upstream, tokens);
        mOnChange.run();
    }

    private void add(UpstreamEntry upstream, long tokens) {
        Load load = load(upstream.incarnation());
        load.mCalls++;
        load.mTokens += tokens;
    }

    /**
     * Records the end of a call.
     *
     * @param tokens the tokens that were recorded for the call
     */
    public void end(UpstreamEntry upstream, long tokens) {
        Load load = load(upstream.incarnation());
        load.mCalls--;
        load.mTokens -= tokens;
        mOnChange.run();
    }

    /** Records that a running call takes more tokens. */
    public void addTokens(UpstreamEntry upstream, long tokens) {
        load(upstream.incarnation()).mTokens += tokens;
        mOnTokensAdded.run();
    }

    /**
     * Returns the tokens known to be in use at an engine: those that the routers account for, and
     * those that the engine reported beyond them.
     */
    public long tokens(UpstreamEntry engine) {
        return routerTokens(engine) + unattributedTokens(load(engine.incarnation()));
    }

    /**
     * Returns the tokens in use at an engine that no router accounts for, or 0 if the last report
     * is too old.
     */
    private long unattributedTokens(Load load) {
        boolean fresh = mLoop.millis() - load.mUnattributedAt <= UNATTRIBUTED_TTL_MILLIS;
        return fresh ? load.mUnattributedTokens : 0;
    }

    /** Returns the tokens that the routers themselves have in flight at an engine. */
    long routerTokens(UpstreamEntry engine) {
        return load(engine.incarnation()).mTokens
                + mPeers.upstreamUsage(engine.incarnation()).tokens();
    }

    /**
     * Records the tokens in use at an engine that no router accounts for.
     *
     * @param share whether this router reports them to the others
     */
    void recordUnattributedTokens(UpstreamEntry engine, long tokens, boolean share) {
        Load load = load(engine.incarnation());
        load.mUnattributedTokens = tokens;
        load.mUnattributedShared = share;
        load.mUnattributedAt = mLoop.millis();
    }

    /** Returns the number of calls that all routers are known to have in flight at an upstream. */
    public int calls(UpstreamEntry upstream) {
        return load(upstream.incarnation()).mCalls
                + mPeers.upstreamUsage(upstream.incarnation()).calls();
    }

    /** Returns the number of calls that this router has in flight at an upstream. */
    int ownCalls(UpstreamEntry upstream) {
        return load(upstream.incarnation()).mCalls;
    }

    /** Returns the runs of this router of which the growth is forecast. */
    ActiveRuns activeRuns() {
        return mActiveRuns;
    }

    /** Returns whether any other router reported recently, so that its usage is known. */
    public boolean hasPeerReports() {
        return mPeers.peerCount() > 0;
    }

    /** Records a successful call. */
    public void succeeded(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        if (load.mEjectedUntil != 0) {
            LOGGER.info("upstream ejection ended by a successful call id={}", upstream.id());
        }
        load.mRecentSuccesses.add(1, mLoop.millis());
        load.mConsecutiveFailures = 0;
        load.mEjectedUntil = 0;
        load.mEjectionMillis = 0;
        load.mConsecutiveRunRefusals = 0;
        load.mRefusingRunsUntil = 0;
    }

    /** Records that an engine refused a call because it is full or changes its role. */
    public void refused(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        load.mEjectedUntil = Math.max(load.mEjectedUntil, mLoop.millis() + REFUSAL_EJECTION_MILLIS);
    }

    /**
     * Records that an engine refused to run a request although it had accepted a reservation for
     * it, as an engine does that drains before a role change. Such an engine looks idle and would
     * be chosen again and again, so the other routers are notified as well.
     */
    public void runRefused(UpstreamEntry engine) {
        Load load = load(engine.incarnation());
        load.mConsecutiveRunRefusals++;
        if (load.mConsecutiveRunRefusals < CONSECUTIVE_RUN_REFUSALS) {
            return;
        }
        int doublings =
                Math.min(load.mConsecutiveRunRefusals - CONSECUTIVE_RUN_REFUSALS, Integer.SIZE / 2);
        long millis = Math.min(MAX_EJECTION_MILLIS, MIN_RUN_REFUSAL_MILLIS << doublings);
        load.mRefusingRunsUntil = mLoop.millis() + millis;
        mOnUrgentChange.run();
        LOGGER.warn(
                "upstream ejected for runs after repeated refusals id={} refusals={} millis={}",
                engine.id(),
                load.mConsecutiveRunRefusals,
                millis);
    }

    /**
     * Returns the engines that count as refusing runs, including those at whose address another
     * upstream answers. A router that has to find this out itself wastes a prefill.
     */
    public Set<UpstreamIncarnation> refusingEngines() {
        long now = mLoop.millis();
        return mLoads.entrySet().stream()
                .filter(each -> each.getValue().refusesRunsUntil() > now)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Records that another incarnation, or an engine of another role, answered at an upstream's
     * address: a crashed upstream stays listed for several heartbeats although its successor has
     * its address. The upstream is ejected until its entry expires or is listed with another role.
     */
    public void replaced(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        long now = mLoop.millis();
        if (load.ejectedUntil(upstream) <= now) {
            LOGGER.warn(
                    "upstream ejected, another one answers at its address id={} role={} millis={}",
                    upstream.id(),
                    upstream.role(),
                    REPLACEMENT_EJECTION_MILLIS);
        }
        load.mReplacedUntil = now + REPLACEMENT_EJECTION_MILLIS;
        load.mReplacedRole = upstream.role();
        mOnUrgentChange.run();
    }

    /** Sets the engines whose role this router is changing. Thread safe. */
    public void setChangingEngines(Set<UpstreamIncarnation> changing) {
        mChangingEngines = changing;
    }

    /**
     * Records a failed call.
     *
     * @param unreachable whether the upstream is taken for unreachable: it is then ejected at once,
     *     and the call does not count in its failure rate
     */
    public void failed(UpstreamEntry upstream, boolean unreachable, String detail) {
        Load load = load(upstream.incarnation());
        long now = mLoop.millis();
        load.mConsecutiveFailures++;
        if (!unreachable) {
            load.mRecentFailures.add(1, now);
            mOnChange.run();
        }
        if (unreachable || load.mConsecutiveFailures >= CONSECUTIVE_FAILURES) {
            eject(upstream, load, MIN_EJECTION_MILLIS, detail);
        }
    }

    /**
     * Ejects an upstream, unless it is ejected already. Until a call succeeds, each ejection lasts
     * twice as long as the one before, up to {@link #MAX_EJECTION_MILLIS}.
     *
     * @param minMillis the shortest duration, milliseconds
     */
    private void eject(UpstreamEntry upstream, Load load, long minMillis, String detail) {
        long now = mLoop.millis();
        if (now < load.mEjectedUntil) {
            return;
        }
        load.mEjectionMillis =
                Math.min(MAX_EJECTION_MILLIS, Math.max(minMillis, 2 * load.mEjectionMillis));
        load.mEjectedUntil = now + load.mEjectionMillis;
        LOGGER.warn(
                "upstream ejected after failures id={} failures={} millis={} cause={}",
                upstream.id(),
                load.mConsecutiveFailures,
                load.mEjectionMillis,
                detail);
    }

    /**
     * Ejects an upstream if most of the recent calls of all routers failed. Called for each
     * candidate of each choice; usually none has failed.
     *
     * @param now the current time, milliseconds
     */
    private void ejectIfFailing(UpstreamEntry upstream, long now) {
        UpstreamUsage peers = mPeers.upstreamUsage(upstream.incarnation());
        Load load = load(upstream.incarnation());
        int failed = peers.failed() + (int) Math.round(load.mRecentFailures.sum(now));
        if (failed == 0) {
            return;
        }
        int succeeded = peers.succeeded() + (int) Math.round(load.mRecentSuccesses.sum(now));
        FailureRate failureRate = new FailureRate(failed, succeeded);
        if (failureRate.failing()) {
            double jitter = 1 + EJECTION_JITTER * (2 * mRandom.nextDouble() - 1);
            eject(upstream, load, (long) (OUTCOME_WINDOW_MILLIS * jitter), failureRate.toString());
        }
    }

    /**
     * Orders the upstreams of a plain service by calls in flight per slot, with a preference for
     * the own hall. Ejected upstreams are left out.
     *
     * @param tried the upstreams that were already sent the request
     * @return the upstreams, the least loaded first
     */
    public List<UpstreamEntry> byCalls(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::callCost);
    }

    /**
     * Orders engines by the tokens that all routers are known to have in flight there. Ejected
     * engines are left out.
     *
     * @param tried the engines that were already sent the request
     * @return the engines, the least loaded first
     */
    public List<UpstreamEntry> byTokens(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::tokens);
    }

    /**
     * Orders upstreams by cost.
     *
     * @param tried the upstreams that were already sent the request
     * @return the available upstreams that accept runs, the cheapest first; if all available ones
     *     refuse runs, those; if all are ejected, the one whose ejection ends first
     */
    private List<UpstreamEntry> ordered(
            Collection<UpstreamEntry> candidates,
            Set<UpstreamIncarnation> tried,
            ToDoubleFunction<UpstreamEntry> cost) {
        long now = mLoop.millis();
        List<UpstreamEntry> untried = new ArrayList<>(candidates);
        untried.removeIf(
                entry ->
                        tried.contains(entry.incarnation())
                                || mChangingEngines.contains(entry.incarnation())
                                || mPeers.isChangingRole(entry.incarnation()));
        untried.forEach(entry -> ejectIfFailing(entry, now));
        List<UpstreamEntry> available = new ArrayList<>(untried);
        available.removeIf(entry -> load(entry.incarnation()).ejectedUntil(entry) > now);
        if (available.isEmpty()) {
            return untried.stream()
                    .min(
                            Comparator.comparingLong(
                                    entry -> load(entry.incarnation()).ejectedUntil(entry)))
                    .map(List::of)
                    .orElse(List.of());
        }
        List<UpstreamEntry> accepting = new ArrayList<>(available);
        accepting.removeIf(entry -> refusesRuns(entry.incarnation(), now));
        if (accepting.isEmpty()) {
            accepting = available;
        }
        Map<UpstreamIncarnation, Double> costs = new HashMap<>();
        for (UpstreamEntry entry : accepting) {
            costs.put(entry.incarnation(), cost.applyAsDouble(entry) + mRandom.nextDouble() * 1e-6);
        }
        accepting.sort(Comparator.comparingDouble(entry -> costs.get(entry.incarnation())));
        return accepting;
    }

    /** Returns whether an engine counts as refusing runs, as seen by this router or another. */
    private boolean refusesRuns(UpstreamIncarnation id, long now) {
        return load(id).mRefusingRunsUntil > now || mPeers.isRefusing(id);
    }

    /**
     * Returns the cost of a plain call: the occupied fraction of the slots, and a surcharge for
     * another hall.
     */
    private double callCost(UpstreamEntry entry) {
        double occupied = calls(entry) / (double) Math.max(1, entry.slots());
        return occupied + (entry.hall().equals(mHall) ? 0 : CROSS_HALL_COST);
    }

    /**
     * Returns the usage to report to the other routers. Successful calls are only reported for
     * upstreams with calls in flight or failures, since the names of upstreams make up most of a
     * report.
     *
     * @return the usage of each upstream with calls in flight, unattributed tokens to share, or
     *     recent failures
     */
    public Map<UpstreamIncarnation, UpstreamUsage> usage() {
        long now = mLoop.millis();
        Map<UpstreamIncarnation, UpstreamUsage> usage = new HashMap<>();
        mLoads.forEach(
                (id, load) -> {
                    long unattributed = load.mUnattributedShared ? unattributedTokens(load) : 0;
                    int failed = (int) Math.round(load.mRecentFailures.sum(now));
                    if (load.mCalls > 0 || unattributed > 0 || failed > 0) {
                        int succeeded = (int) Math.round(load.mRecentSuccesses.sum(now));
                        long tokens = load.mTokens + unattributed;
                        long rest = mActiveRuns.restCorrection(id);
                        usage.put(
                                id,
                                new UpstreamUsage(load.mCalls, tokens, failed, succeeded, rest));
                    }
                });
        return usage;
    }

    /** Removes the state of upstreams that are no longer listed and have no call in flight. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mLoads.entrySet()
                .removeIf(each -> !listed.contains(each.getKey()) && each.getValue().mCalls == 0);
    }

    private Load load(UpstreamIncarnation id) {
        return mLoads.computeIfAbsent(id, any -> new Load());
    }
}
