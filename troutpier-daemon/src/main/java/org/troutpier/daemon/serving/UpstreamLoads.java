package org.troutpier.daemon.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.FailureRate;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.ActiveRuns;
import org.troutpier.daemon.pace.PaceEstimate;

/**
 * Tracks the calls and tokens that this router has in flight at each upstream, and ejects upstreams
 * whose calls fail. Confined to the traffic loop. Invariant: an ejected upstream is tried again
 * after at most {@link #MAX_EJECTION_MILLIS}; if all candidates are ejected, those that were silent
 * or failed calls remain usable; if all are unreachable or refuse calls, the one whose ejection
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

    static final long MAX_EJECTION_MILLIS = 4000;

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

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLoads.class);

    private final ActiveRuns mActiveRuns = new ActiveRuns();

    private final Map<UpstreamIncarnation, UpstreamLoad> mLoads = new HashMap<>();

    private final TrafficLoop mLoop;

    /** Spreads the ejections of all routers. */
    private final RandomGenerator mRandom;

    private final PaceEstimate mPaces;

    private final UpstreamOrder mOrder;

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

    /** Creates a tracker without any upstream, which does not measure the pace of upstreams. */
    public UpstreamLoads(TrafficLoop loop, RandomGenerator random, HallId hall, PeerLoads peers) {
        this(loop, random, hall, peers, PaceEstimate.OFF);
    }

    /**
     * Creates a tracker without any upstream.
     *
     * @param hall the hall of this router
     * @param paces the pace of the upstreams
     */
    public UpstreamLoads(
            TrafficLoop loop,
            RandomGenerator random,
            HallId hall,
            PeerLoads peers,
            PaceEstimate paces) {
        mPeers = peers;
        mLoop = loop;
        mRandom = random;
        mPaces = paces;
        mOrder = new UpstreamOrder(this, loop, random, hall, paces);
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
        UpstreamLoad load = load(upstream.incarnation());
        load.mCalls++;
        load.mTokens += tokens;
    }

    /**
     * Records the end of a call.
     *
     * @param tokens the tokens that were recorded for the call
     */
    public void end(UpstreamEntry upstream, long tokens) {
        UpstreamLoad load = load(upstream.incarnation());
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
        return routerTokens(engine) + load(engine.incarnation()).unattributedTokens(mLoop.millis());
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
        load(engine.incarnation()).recordUnattributedTokens(tokens, share, mLoop.millis());
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
        UpstreamLoad load = load(upstream.incarnation());
        if (load.mEjectedUntil != 0) {
            LOGGER.info("upstream ejection ended by a successful call id={}", upstream.id());
        }
        load.recordSuccess(mLoop.millis());
    }

    /** Records that an engine refused a call because it is full or changes its role. */
    public void refused(UpstreamEntry upstream) {
        load(upstream.incarnation()).ejectRefusing(mLoop.millis(), REFUSAL_EJECTION_MILLIS);
    }

    /**
     * Records that an engine refused to run a request although it had accepted a reservation for
     * it, as an engine does that drains before a role change. Such an engine looks idle and would
     * be chosen again and again, so the other routers are notified as well.
     */
    public void runRefused(UpstreamEntry engine) {
        UpstreamLoad load = load(engine.incarnation());
        long millis = load.recordRunRefusal(mLoop.millis());
        if (millis == 0) {
            return;
        }
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
        UpstreamLoad load = load(upstream.incarnation());
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
        UpstreamLoad load = load(upstream.incarnation());
        long now = mLoop.millis();
        load.mConsecutiveFailures++;
        if (!unreachable) {
            load.mRecentFailures.add(1, now);
            mOnChange.run();
        }
        if (unreachable || load.mConsecutiveFailures >= CONSECUTIVE_FAILURES) {
            eject(upstream, load, MIN_EJECTION_MILLIS, unreachable, detail);
        }
    }

    /**
     * Records that an upstream has not answered a call that goes on. It is ejected at once, until
     * the call is answered at the latest, but remains usable while all others are ejected too. The
     * call does not count in its failure rate.
     */
    void silent(UpstreamEntry upstream, String detail) {
        UpstreamLoad load = load(upstream.incarnation());
        load.mConsecutiveFailures++;
        eject(upstream, load, MIN_EJECTION_MILLIS, false, detail);
    }

    /** Discards recent failures that were those of the path, for the peers as well. */
    public void discardFailures(UpstreamEntry upstream) {
        load(upstream.incarnation()).mRecentFailures.discardBefore(Long.MAX_VALUE, mLoop.millis());
        mOnChange.run();
    }

    /** Ejects an upstream; see {@link UpstreamLoad#eject}. */
    private void eject(
            UpstreamEntry upstream,
            UpstreamLoad load,
            long minMillis,
            boolean closed,
            String detail) {
        if (!load.eject(mLoop.millis(), minMillis, closed)) {
            return;
        }
        UpstreamUsage peers = mPeers.upstreamUsage(upstream.incarnation());
        LOGGER.warn(
                "upstream ejected after failures id={} failures={} millis={} cause={}"
                        + " peersCalls={} peersSucceeded={} peersFailed={}",
                upstream.id(),
                load.mConsecutiveFailures,
                load.mEjectionMillis,
                detail,
                peers.calls(),
                peers.succeeded(),
                peers.failed());
    }

    /**
     * Ejects an upstream if most of the recent calls of all routers failed. Called for each
     * candidate of each choice; usually none has failed.
     *
     * @param now the current time, milliseconds
     */
    void ejectIfFailing(UpstreamEntry upstream, long now) {
        UpstreamLoad load = load(upstream.incarnation());
        FailureRate failureRate =
                load.failureRate(mPeers.upstreamUsage(upstream.incarnation()), now);
        if (failureRate.failing()) {
            double jitter = 1 + EJECTION_JITTER * (2 * mRandom.nextDouble() - 1);
            eject(
                    upstream,
                    load,
                    (long) (UpstreamLoad.OUTCOME_WINDOW_MILLIS * jitter),
                    false,
                    failureRate.toString());
        }
    }

    /** Returns the order of upstreams by load and pace. */
    UpstreamOrder order() {
        return mOrder;
    }

    /** Returns the pace of the upstreams. */
    public PaceEstimate paces() {
        return mPaces;
    }

    /** Records how long an upstream took for a call, with the calls that are in progress there. */
    void recordPace(UpstreamEntry upstream, double millis) {
        mPaces.recordUnderLoad(upstream, millis, calls(upstream));
    }

    /** Returns whether an engine changes its role by order of this router or another. */
    boolean isChangingRole(UpstreamIncarnation engine) {
        return mChangingEngines.contains(engine) || mPeers.isChangingRole(engine);
    }

    /**
     * Returns when the ejection of an upstream ends.
     *
     * @return milliseconds; a time in the past if it is not ejected
     */
    long ejectedUntil(UpstreamEntry upstream) {
        return load(upstream.incarnation()).ejectedUntil(upstream);
    }

    /** Returns whether an upstream is assumed to take no calls; it is ejected then. */
    boolean isClosed(UpstreamEntry upstream) {
        return load(upstream.incarnation()).isClosed(upstream, mLoop.millis());
    }

    /** Returns whether an engine counts as refusing runs, as seen by this router or another. */
    boolean refusesRuns(UpstreamIncarnation id, long now) {
        return load(id).mRefusingRunsUntil > now || mPeers.isRefusing(id);
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
                    if (load.isReported(now)) {
                        usage.put(id, load.usage(now, mActiveRuns.restCorrection(id)));
                    }
                });
        return usage;
    }

    /** Removes the state of upstreams that are no longer listed and have no call in flight. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mLoads.entrySet()
                .removeIf(each -> !listed.contains(each.getKey()) && each.getValue().mCalls == 0);
        mPaces.retain(listed);
    }

    private UpstreamLoad load(UpstreamIncarnation id) {
        return mLoads.computeIfAbsent(id, any -> new UpstreamLoad());
    }
}
