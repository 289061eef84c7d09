package org.troutpier.daemon.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.role.EngineRoleClient;

/**
 * Polls engines for their usage, to account for runs that no router reports: runs of routers that
 * are partitioned off, and runs that continue for routers that lost power. Reports of engines are
 * delayed, so a report is compared with the largest usage that was recently attributed to routers,
 * and only the excess counts as unattributed. Engines are polled only while there may be
 * unattributed runs: after this router's own start, and after another router no longer reports. In
 * a small fleet each router polls all engines; in a large one the relay of each hall polls the
 * engines of its hall and shares the results with its own usage, so that the number of calls grows
 * with the engines and not with routers times engines. Confined to the traffic loop.
 *
 * <p>It covers the seconds after all routers lost power, and routers that are partitioned from each
 * other. Without it, engines are filled beyond their memory and preempt their runs.
 */
public final class EngineUsageReconciler {

    private static final long POLL_INTERVAL_MILLIS = 400;

    /**
     * Number of polling intervals that a report may lag behind: engines report up to one second
     * late.
     */
    private static final int HISTORY_LENGTH = 4;

    /**
     * How long engines are polled after a start and after another router no longer reports,
     * milliseconds. The longest runs end within it.
     */
    private static final long POLLING_PERIOD_MILLIS = 12_000;

    private static final Logger LOGGER = LogManager.getLogger(EngineUsageReconciler.class);

    private final TrafficLoop mLoop;

    private final UpstreamDirectory mDirectory;

    /** Usage attributed to routers. */
    private final UpstreamLoads mLoads;

    /** The other routers. */
    private final PeerLoads mPeers;

    private final EngineRoleClient mClient;

    private final Scope mScope;

    /** Usage attributed to routers at the last polling intervals, the most recent last. */
    private final Map<UpstreamIncarnation, Deque<Long>> mHistory = new HashMap<>();

    /** Number of other routers that reported recently, at the last interval. */
    private int mPeerCount;

    /** When polling ends, milliseconds. */
    private long mPollUntil;

    /** Which engines a router polls. Implementations are thread safe. */
    public interface Scope {

        /** Returns whether this router currently polls an engine. */
        boolean polls(UpstreamEntry engine);

        /**
         * Returns whether this router shares its results with the other routers.
         *
         * @return whether it currently does; false if each router polls for itself
         */
        default boolean sharesResults() {
            return false;
        }
    }

    /** Creates a reconciler. */
    public EngineUsageReconciler(
            TrafficLoop loop,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            PeerLoads peers,
            EngineRoleClient client,
            Scope scope) {
        mScope = scope;
        mLoop = loop;
        mDirectory = directory;
        mLoads = loads;
        mPeers = peers;
        mClient = client;
    }

    /** Starts polling, since a router that has just started knows of no runs. */
    public void start() {
        mLoop.execute(
                () -> {
                    mPollUntil = mLoop.millis() + POLLING_PERIOD_MILLIS;
                    tick();
                });
    }

    /**
     * Stops the initial polling, because this instance never ran before and no engine can be
     * working for an earlier incarnation of it. In a fleet whose 58 routers all start for the first
     * time, each router would poll 42 engines about ten times, 22,000 calls without any result.
     * Thread safe.
     */
    public void skipInitialPolling() {
        mLoop.execute(() -> mPollUntil = Math.min(mPollUntil, mLoop.millis()));
    }

    /**
     * Records the usage attributed to routers, polls the engines while there may be unattributed
     * runs, and schedules the next interval. A router that no longer reports starts a new polling
     * period.
     */
    private void tick() {
        long now = mLoop.millis();
        int peerCount = mPeers.peerCount();
        if (peerCount < mPeerCount) {
            LOGGER.info(
                    "polling engines for their usage: peers before={} now={}",
                    mPeerCount,
                    peerCount);
            mPollUntil = now + POLLING_PERIOD_MILLIS;
        }
        mPeerCount = peerCount;
        recordAndPoll(now < mPollUntil);
        mLoop.schedule(this::tick, POLL_INTERVAL_MILLIS);
    }

    /**
     * Records the usage attributed to routers at each engine.
     *
     * @param poll whether to poll the engines as well
     */
    private void recordAndPoll(boolean poll) {
        List<UpstreamEntry> engines =
                mDirectory.usable(UpstreamEntry.Role.DECODE).stream()
                        .filter(mScope::polls)
                        .toList();
        mHistory.keySet()
                .retainAll(
                        engines.stream()
                                .map(UpstreamEntry::incarnation)
                                .collect(Collectors.toSet()));
        for (UpstreamEntry engine : engines) {
            Deque<Long> history =
                    mHistory.computeIfAbsent(engine.incarnation(), any -> new ArrayDeque<>());
            history.addLast(mLoads.routerTokens(engine));
            if (history.size() > HISTORY_LENGTH) {
                history.removeFirst();
            }
            if (poll) {
                poll(engine);
            }
        }
    }

    /**
     * Polls an engine. One that does not answer is ejected as a consequence of its failing runs.
     */
    private void poll(UpstreamEntry engine) {
        mClient.report(engine)
                .whenComplete(
                        (report, failure) -> {
                            if (failure != null) {
                                LOGGER.debug(
                                        "engine did not report its usage id={}",
                                        engine.id(),
                                        failure);
                                return;
                            }
                            if (report.incarnation().mayEqual(engine.incarnation())) {
                                mLoop.execute(() -> reconcile(engine, report.usedTokens()));
                            }
                        });
    }

    /**
     * Records the excess of a report over the usage recently attributed to routers.
     *
     * @param used the memory used by its runs a short time ago, tokens
     */
    private void reconcile(UpstreamEntry engine, long used) {
        Deque<Long> history = mHistory.get(engine.incarnation());
        if (history != null) {
            long max = history.stream().mapToLong(Long::longValue).max().orElse(0);
            mLoads.recordUnattributedTokens(
                    engine, Math.max(0, used - max), mScope.sharesResults());
        }
    }
}
