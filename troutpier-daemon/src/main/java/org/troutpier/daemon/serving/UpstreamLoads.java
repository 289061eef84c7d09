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

/**
 * What this router has under way at each upstream, and which upstreams it passes over because their
 * calls failed. Confined to the traffic loop. Invariant: an upstream whose calls fail is tried
 * again after at most {@link #MOST_EJECTED_MILLIS}, and where all are passed over the one that
 * comes back first is used.
 */
public final class UpstreamLoads {

    /** How many failures in a row pass an upstream over; two happen by chance at one in seven. */
    private static final int FAILURES = 4;

    /** How long an upstream is passed over at first, milliseconds. */
    private static final long FIRST_EJECTED_MILLIS = 500;

    /** How long an upstream is passed over at most, milliseconds. */
    private static final long MOST_EJECTED_MILLIS = 4000;

    /**
     * For how long the end of a call counts, milliseconds: the time in which routers together send
     * an upstream enough calls to tell one that fails most of them.
     */
    private static final long ENDS_MILLIS = 3000;

    /** How many steps that time is divided into. */
    private static final int ENDS_STEPS = 6;

    /**
     * By which part the time varies for which an upstream is passed over that others saw fail, so
     * that routers come back to it one after the other and the first one tells the rest.
     */
    private static final double SPREAD = 0.5;

    /** How long an engine that refused to read a prompt is passed over, milliseconds. */
    private static final long REFUSED_MILLIS = 250;

    /**
     * How long an upstream is passed over after another answered in its place, milliseconds: its
     * entry lapses after three heartbeats of silence, which are 3.6 s on the users' sites.
     */
    private static final long REPLACED_MILLIS = 4000;

    /** How many runs in a row a decode engine refuses before it is passed over. */
    private static final int REFUSALS = 2;

    /**
     * How long a decode engine that refuses runs is passed over at first, milliseconds; a change of
     * its role takes some seconds.
     */
    private static final long FIRST_REFUSING_MILLIS = 1000;

    /** How long what an engine reported counts, milliseconds: three pauses between two reports. */
    private static final long UNKNOWN_MILLIS = 1200;

    /** What crossing to another hall counts for, in parts of an upstream's slots. */
    private static final double OTHER_HALL = 0.15;

    /** Logs each upstream that is passed over or used again. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamLoads.class);

    /** The state of each upstream. */
    private final Map<UpstreamIncarnation, Load> mLoads = new HashMap<>();

    /** The clock. */
    private final TrafficLoop mLoop;

    /** Breaks ties. */
    private final RandomGenerator mRandom;

    /** The hall of this router. */
    private final HallId mHall;

    /** What the other routers have under way. */
    private final PeerLoads mPeers;

    /** Runs when the other routers must hear at once of what changed. */
    private Runnable mOnUrgent = () -> {};

    /** Runs when what is under way changes in a way of which the others may hear a little later. */
    private Runnable mOnChanged = () -> {};

    /** Runs when runs under way grow, of which the others may hear later still. */
    private Runnable mOnGrown = () -> {};

    /** The engines that change their role by this router's order. */
    private volatile Set<UpstreamIncarnation> mChanging = Set.of();

    /** One upstream's state. */
    private static final class Load {

        /** Calls under way. */
        private int mCalls;

        /** Tokens of the calls under way. */
        private long mTokens;

        /** Tokens that the engine reported beyond what the routers say. */
        private long mUnknown;

        /** When it reported them, milliseconds. */
        private long mUnknownAt;

        /** Whether the other routers hear of them from this one. */
        private boolean mUnknownTold;

        /** Failures since the last success. */
        private int mFailures;

        /** Until when the upstream is passed over, milliseconds; 0 for not. */
        private long mEjectedUntil;

        /** How long it was passed over last, milliseconds. */
        private long mEjectedMillis;

        /** Until when another is known to answer in its place, milliseconds; 0 for not. */
        private long mReplacedUntil;

        /** The role that it was asked for when another answered. */
        private UpstreamEntry.Role mReplacedRole;

        /** Calls that failed lately though the upstream was reached. */
        private final SlidingWindowSum mFailedLately =
                new SlidingWindowSum(ENDS_MILLIS, ENDS_STEPS);

        /** Calls that went well lately. */
        private final SlidingWindowSum mSucceededLately =
                new SlidingWindowSum(ENDS_MILLIS, ENDS_STEPS);

        /** Runs that it refused since the last success. */
        private int mRefusals;

        /** Until when it is taken to refuse runs, milliseconds; 0 for not. */
        private long mRefusingUntil;

        /**
         * Returns until when it is known that no run is taken.
         *
         * @return milliseconds; in the past for not
         */
        private long refusesUntil() {
            boolean engine = mReplacedRole == UpstreamEntry.Role.DECODE;
            return engine ? Math.max(mReplacedUntil, mRefusingUntil) : mRefusingUntil;
        }

        /**
         * Returns until when the upstream is passed over.
         *
         * @param entry what is listed of it now
         * @return milliseconds; in the past for not
         */
        private long passedOverUntil(UpstreamEntry entry) {
            boolean replaced = entry.role() == mReplacedRole;
            return replaced ? Math.max(mReplacedUntil, mEjectedUntil) : mEjectedUntil;
        }
    }

    /**
     * Creates a view without any upstream.
     *
     * @param loop the clock
     * @param random breaks ties
     * @param hall the hall of this router
     * @param peers what the other routers have under way
     */
    public UpstreamLoads(TrafficLoop loop, RandomGenerator random, HallId hall, PeerLoads peers) {
        mPeers = peers;
        mLoop = loop;
        mRandom = random;
        mHall = hall;
    }

    /**
     * Sets what runs when the other routers must hear at once of what changed: memory is taken, or
     * an engine refuses runs.
     *
     * @param action the action, run on the traffic loop
     */
    public void onUrgentChange(Runnable action) {
        mOnUrgent = action;
    }

    /**
     * Sets what runs when what is under way changes in a way of which the others may hear a little
     * later.
     *
     * @param action the action, run on the traffic loop
     */
    public void onChange(Runnable action) {
        mOnChanged = action;
    }

    /**
     * Sets what runs when runs under way grow.
     *
     * @param action the action, run on the traffic loop
     */
    public void onTokensAdded(Runnable action) {
        mOnGrown = action;
    }

    /**
     * Records that memory of an engine is taken, and tells the other routers at once: two that ask
     * for the same room at the same time would both get it.
     *
     * @param engine the engine
     * @param tokens how much
     */
    public void reserve(UpstreamEntry engine, long tokens) {
        add(engine, tokens);
        mOnUrgent.run();
    }

    /**
     * Records that a call begins.
     *
     * @param upstream where
     * @param tokens its tokens; 0 for a plain call
     */
    public void begin(UpstreamEntry upstream, long tokens) {
        add(upstream, tokens);
        mOnChanged.run();
    }

    /**
     * Counts a call.
     *
     * @param upstream where
     * @param tokens its tokens
     */
    private void add(UpstreamEntry upstream, long tokens) {
        Load load = load(upstream.incarnation());
        load.mCalls++;
        load.mTokens += tokens;
    }

    /**
     * Records that a call has ended.
     *
     * @param upstream where
     * @param tokens the tokens it began with
     */
    public void end(UpstreamEntry upstream, long tokens) {
        Load load = load(upstream.incarnation());
        load.mCalls--;
        load.mTokens -= tokens;
        mOnChanged.run();
    }

    /**
     * Records that a call takes more tokens.
     *
     * @param upstream where
     * @param tokens how many more
     */
    public void addTokens(UpstreamEntry upstream, long tokens) {
        load(upstream.incarnation()).mTokens += tokens;
        mOnGrown.run();
    }

    /**
     * Returns the tokens that are known to be under way at an engine: what the routers say, and
     * what the engine reported beyond it.
     *
     * @param engine the engine
     * @return tokens
     */
    public long tokens(UpstreamEntry engine) {
        return toldTokens(engine) + unknown(load(engine.incarnation()));
    }

    /**
     * Returns how much runs at an engine that no router tells of.
     *
     * @param load the engine's state
     * @return tokens, as far as they were reported lately
     */
    private long unknown(Load load) {
        boolean fresh = mLoop.millis() - load.mUnknownAt <= UNKNOWN_MILLIS;
        return fresh ? load.mUnknown : 0;
    }

    /**
     * Returns the tokens that the routers themselves say they have under way at an engine.
     *
     * @param engine the engine
     * @return tokens
     */
    long toldTokens(UpstreamEntry engine) {
        return load(engine.incarnation()).mTokens
                + mPeers.upstreamUsage(engine.incarnation()).tokens();
    }

    /**
     * Records how much runs at an engine that no router tells of.
     *
     * @param engine the engine
     * @param tokens how much, as the engine reported
     * @param told whether the other routers are to hear of it from this one
     */
    void unknown(UpstreamEntry engine, long tokens, boolean told) {
        Load load = load(engine.incarnation());
        load.mUnknown = tokens;
        load.mUnknownTold = told;
        load.mUnknownAt = mLoop.millis();
    }

    /**
     * Returns how many calls all routers are known to have under way at an upstream.
     *
     * @param upstream the upstream
     * @return the count
     */
    public int calls(UpstreamEntry upstream) {
        return load(upstream.incarnation()).mCalls
                + mPeers.upstreamUsage(upstream.incarnation()).calls();
    }

    /**
     * Returns how many calls this router has under way at an upstream.
     *
     * @param upstream the upstream
     * @return the count
     */
    int ownCalls(UpstreamEntry upstream) {
        return load(upstream.incarnation()).mCalls;
    }

    /**
     * Returns whether other routers were heard lately, so that their use is known.
     *
     * @return whether any was
     */
    public boolean hasPeerReports() {
        return mPeers.peerCount() > 0;
    }

    /**
     * Records that a call went well.
     *
     * @param upstream where
     */
    public void succeeded(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        if (load.mEjectedUntil != 0) {
            LOGGER.info("upstream used again id={}", upstream.id());
        }
        load.mSucceededLately.add(1, mLoop.millis());
        load.mFailures = 0;
        load.mEjectedUntil = 0;
        load.mEjectedMillis = 0;
        load.mRefusals = 0;
        load.mRefusingUntil = 0;
    }

    /**
     * Records that an engine refused a call as it is full or changes its role.
     *
     * @param upstream the engine
     */
    public void refused(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        load.mEjectedUntil = Math.max(load.mEjectedUntil, mLoop.millis() + REFUSED_MILLIS);
    }

    /**
     * Records that an engine refused to run a request though it had set a place aside for it, as
     * one does that empties to change its role. It looks idle, so it would be chosen again and
     * again; the other routers are told too.
     *
     * @param engine the engine
     */
    public void runRefused(UpstreamEntry engine) {
        Load load = load(engine.incarnation());
        load.mRefusals++;
        if (load.mRefusals < REFUSALS) {
            return;
        }
        int doublings = Math.min(load.mRefusals - REFUSALS, Integer.SIZE / 2);
        long millis = Math.min(MOST_EJECTED_MILLIS, FIRST_REFUSING_MILLIS << doublings);
        load.mRefusingUntil = mLoop.millis() + millis;
        mOnUrgent.run();
        LOGGER.warn(
                "upstream refuses runs id={} refusals={} millis={}",
                engine.id(),
                load.mRefusals,
                millis);
    }

    /**
     * Returns the engines that are taken to refuse runs, those included in whose place another
     * answers: a router that finds that out by itself has a prompt read for nothing.
     *
     * @return their ids
     */
    public Set<UpstreamIncarnation> refusingEngines() {
        long now = mLoop.millis();
        return mLoads.entrySet().stream()
                .filter(each -> each.getValue().refusesUntil() > now)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Records that another incarnation or an engine of another role answered in an upstream's
     * place: a crashed upstream is listed for some heartbeats although its successor has its
     * address. It is passed over until its entry has lapsed or lists another role.
     *
     * @param upstream the upstream as it was listed
     */
    public void replaced(UpstreamEntry upstream) {
        Load load = load(upstream.incarnation());
        long now = mLoop.millis();
        if (load.passedOverUntil(upstream) <= now) {
            LOGGER.warn(
                    "upstream replaced id={} role={} millis={}",
                    upstream.id(),
                    upstream.role(),
                    REPLACED_MILLIS);
        }
        load.mReplacedUntil = now + REPLACED_MILLIS;
        load.mReplacedRole = upstream.role();
        mOnUrgent.run();
    }

    /**
     * Sets the engines that change their role by this router's order.
     *
     * @param changing their ids; may be called from any thread
     */
    public void setChangingEngines(Set<UpstreamIncarnation> changing) {
        mChanging = changing;
    }

    /**
     * Records that a call failed.
     *
     * @param upstream where
     * @param unreachable whether the upstream could not be reached
     * @param detail what happened, for the log
     */
    public void failed(UpstreamEntry upstream, boolean unreachable, String detail) {
        Load load = load(upstream.incarnation());
        long now = mLoop.millis();
        load.mFailures++;
        if (!unreachable) {
            load.mFailedLately.add(1, now);
            mOnChanged.run();
        }
        if (unreachable || load.mFailures >= FAILURES) {
            passOver(upstream, load, FIRST_EJECTED_MILLIS, detail);
        }
    }

    /**
     * Passes an upstream over for a while, unless it is already.
     *
     * @param upstream the upstream
     * @param load its state
     * @param leastMillis for how long at least, milliseconds
     * @param detail why, for the log
     */
    private void passOver(UpstreamEntry upstream, Load load, long leastMillis, String detail) {
        long now = mLoop.millis();
        if (now < load.mEjectedUntil) {
            return;
        }
        load.mEjectedMillis =
                Math.min(MOST_EJECTED_MILLIS, Math.max(leastMillis, 2 * load.mEjectedMillis));
        load.mEjectedUntil = now + load.mEjectedMillis;
        LOGGER.warn(
                "upstream passed over id={} failures={} millis={} cause={}",
                upstream.id(),
                load.mFailures,
                load.mEjectedMillis,
                detail);
    }

    /**
     * Passes an upstream over if most of the calls fail that all routers sent it lately. It is
     * asked for each upstream whenever one is chosen, and mostly none has failed.
     *
     * @param upstream the upstream
     * @param now the clock, milliseconds
     */
    private void judge(UpstreamEntry upstream, long now) {
        UpstreamUsage others = mPeers.upstreamUsage(upstream.incarnation());
        Load load = load(upstream.incarnation());
        int failed = others.failed() + (int) Math.round(load.mFailedLately.sum(now));
        if (failed == 0) {
            return;
        }
        int succeeded = others.succeeded() + (int) Math.round(load.mSucceededLately.sum(now));
        FailureRate share = new FailureRate(failed, succeeded);
        if (share.failing()) {
            double spread = 1 + SPREAD * (2 * mRandom.nextDouble() - 1);
            passOver(upstream, load, (long) (ENDS_MILLIS * spread), share.toString());
        }
    }

    /**
     * Orders upstreams of a plain service by the calls that are known to be under way for their
     * slots, own hall first, passing over those that failed.
     *
     * @param candidates the upstreams
     * @param tried where the request was already sent
     * @return the upstreams, the least loaded first
     */
    public List<UpstreamEntry> byCalls(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::callCost);
    }

    /**
     * Orders engines by the tokens that all routers are known to have under way there.
     *
     * @param candidates the engines
     * @param tried where the request was already sent
     * @return the engines, the least loaded first
     */
    public List<UpstreamEntry> byTokens(
            Collection<UpstreamEntry> candidates, Set<UpstreamIncarnation> tried) {
        return ordered(candidates, tried, this::tokens);
    }

    /**
     * Orders upstreams.
     *
     * @param candidates the upstreams
     * @param tried where the request was already sent
     * @param cost what each costs
     * @return the upstreams that are not passed over, the cheapest first; where all refuse runs,
     *     those; where all are passed over, the one that comes back first
     */
    private List<UpstreamEntry> ordered(
            Collection<UpstreamEntry> candidates,
            Set<UpstreamIncarnation> tried,
            ToDoubleFunction<UpstreamEntry> cost) {
        long now = mLoop.millis();
        List<UpstreamEntry> left = new ArrayList<>(candidates);
        left.removeIf(
                entry ->
                        tried.contains(entry.incarnation())
                                || mChanging.contains(entry.incarnation())
                                || mPeers.isChangingRole(entry.incarnation()));
        left.forEach(entry -> judge(entry, now));
        List<UpstreamEntry> there = new ArrayList<>(left);
        there.removeIf(entry -> load(entry.incarnation()).passedOverUntil(entry) > now);
        if (there.isEmpty()) {
            return left.stream()
                    .min(
                            Comparator.comparingLong(
                                    entry -> load(entry.incarnation()).passedOverUntil(entry)))
                    .map(List::of)
                    .orElse(List.of());
        }
        List<UpstreamEntry> sound = new ArrayList<>(there);
        sound.removeIf(entry -> refuses(entry.incarnation(), now));
        if (sound.isEmpty()) {
            sound = there;
        }
        Map<UpstreamIncarnation, Double> costs = new HashMap<>();
        for (UpstreamEntry entry : sound) {
            costs.put(entry.incarnation(), cost.applyAsDouble(entry) + mRandom.nextDouble() * 1e-6);
        }
        sound.sort(Comparator.comparingDouble(entry -> costs.get(entry.incarnation())));
        return sound;
    }

    /**
     * Returns whether an engine is taken to refuse runs, by this router or another.
     *
     * @param id the engine
     * @param now the clock, milliseconds
     * @return whether it is
     */
    private boolean refuses(UpstreamIncarnation id, long now) {
        return load(id).mRefusingUntil > now || mPeers.isRefusing(id);
    }

    /**
     * Returns what a plain call costs.
     *
     * @param entry the upstream
     * @return the part of its slots that is taken, and more for another hall
     */
    private double callCost(UpstreamEntry entry) {
        double taken = calls(entry) / (double) Math.max(1, entry.slots());
        return taken + (entry.hall().equals(mHall) ? 0 : OTHER_HALL);
    }

    /**
     * Returns what is under way, with what this router learnt for the others. How calls ended that
     * went well is told with those that are under way or failed: the names of upstreams are most of
     * a report.
     *
     * @return the use of each upstream that is used or failed lately
     */
    public Map<UpstreamIncarnation, UpstreamUsage> usage() {
        long now = mLoop.millis();
        Map<UpstreamIncarnation, UpstreamUsage> uses = new HashMap<>();
        mLoads.forEach(
                (id, load) -> {
                    long learnt = load.mUnknownTold ? unknown(load) : 0;
                    int failed = (int) Math.round(load.mFailedLately.sum(now));
                    if (load.mCalls > 0 || learnt > 0 || failed > 0) {
                        int succeeded = (int) Math.round(load.mSucceededLately.sum(now));
                        long tokens = load.mTokens + learnt;
                        uses.put(id, new UpstreamUsage(load.mCalls, tokens, failed, succeeded));
                    }
                });
        return uses;
    }

    /**
     * Forgets upstreams that are no longer listed.
     *
     * @param listed the ids that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        mLoads.entrySet()
                .removeIf(each -> !listed.contains(each.getKey()) && each.getValue().mCalls == 0);
    }

    /**
     * Returns an upstream's state.
     *
     * @param id the upstream
     * @return its state
     */
    private Load load(UpstreamIncarnation id) {
        return mLoads.computeIfAbsent(id, any -> new Load());
    }
}
