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
 * Learns from the engines themselves what runs there that no router tells of: runs of routers that
 * are cut off, and runs that go on for routers that lost power. Engines report late, so a report is
 * held against the most that was known to run there lately, and what is beyond it counts as taken.
 * Engines are asked only while something may be unknown: after this router's own start and after a
 * router is heard no more. Of few routers each asks all engines; of many the relay of each hall
 * asks those of its hall and tells the others with its own use, so that calls grow with engines and
 * not with routers times engines. Confined to the traffic loop.
 *
 * <p>It answers the seconds after a loss of power of all routers, and routers that are cut from
 * each other. Without it engines were filled beyond their memory and preempted what they ran.
 */
public final class EngineUsageReconciler {

    /** How often engines are asked, milliseconds. */
    private static final long LOOK_MILLIS = 400;

    /** How many looks back a report may lie: engines report up to a second late. */
    private static final int LATE_LOOKS = 4;

    /**
     * How long engines are asked after a start and after a router is heard no more, milliseconds:
     * the longest runs end within it.
     */
    private static final long WATCH_MILLIS = 12_000;

    /** Logs when engines begin to be asked. */
    private static final Logger LOGGER = LogManager.getLogger(EngineUsageReconciler.class);

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** The engines. */
    private final UpstreamDirectory mDirectory;

    /** What is known to run there. */
    private final UpstreamLoads mLoads;

    /** Who is heard. */
    private final PeerLoads mPeers;

    /** Asks engines. */
    private final EngineRoleClient mEngines;

    /** Which engines this router asks. */
    private final Scope mScope;

    /** What was known to run at each engine at the last looks, the newest last. */
    private final Map<UpstreamIncarnation, Deque<Long>> mKnown = new HashMap<>();

    /** How many other routers were heard at the last look. */
    private int mHeard;

    /** Until when engines are asked, milliseconds. */
    private long mUntil;

    /** Which engines a router asks. Implementations are thread safe. */
    public interface Scope {

        /**
         * Returns whether this router asks an engine.
         *
         * @param engine the engine
         * @return whether it does now
         */
        boolean polls(UpstreamEntry engine);

        /**
         * Returns whether this router tells the others what it learns.
         *
         * @return whether it does now; false where each asks for itself
         */
        default boolean sharesResults() {
            return false;
        }
    }

    /**
     * Creates it.
     *
     * @param loop the traffic loop
     * @param directory the engines
     * @param loads what is known to run there
     * @param peers who is heard
     * @param engines asks engines
     * @param scope which engines this router asks
     */
    public EngineUsageReconciler(
            TrafficLoop loop,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            PeerLoads peers,
            EngineRoleClient engines,
            Scope scope) {
        mScope = scope;
        mLoop = loop;
        mDirectory = directory;
        mLoads = loads;
        mPeers = peers;
        mEngines = engines;
    }

    /** Starts to look; this router has just started, so it knows of nothing that runs. */
    public void start() {
        mLoop.execute(
                () -> {
                    mUntil = mLoop.millis() + WATCH_MILLIS;
                    look();
                });
    }

    /**
     * Takes note that this instance never ran before, so that no engine works for an earlier start
     * of it. In a fleet whose 58 routers all start for the first time, each asked 42 engines some
     * ten times: 22,000 questions about nothing. Any thread may call it.
     */
    public void skipInitialPolling() {
        mLoop.execute(() -> mUntil = Math.min(mUntil, mLoop.millis()));
    }

    /** Notes what is known, and asks the engines where something may be unknown. */
    private void look() {
        long now = mLoop.millis();
        int heard = mPeers.peerCount();
        if (heard < mHeard) {
            LOGGER.info(
                    "engines asked for their use: routers heard before={} now={}", mHeard, heard);
            mUntil = now + WATCH_MILLIS;
        }
        mHeard = heard;
        look(now < mUntil);
        mLoop.schedule(this::look, LOOK_MILLIS);
    }

    /**
     * Notes what is known of each engine.
     *
     * @param ask whether to ask the engines too
     */
    private void look(boolean ask) {
        List<UpstreamEntry> engines =
                mDirectory.usable(UpstreamEntry.Role.DECODE).stream()
                        .filter(mScope::polls)
                        .toList();
        mKnown.keySet()
                .retainAll(
                        engines.stream()
                                .map(UpstreamEntry::incarnation)
                                .collect(Collectors.toSet()));
        for (UpstreamEntry engine : engines) {
            Deque<Long> known =
                    mKnown.computeIfAbsent(engine.incarnation(), any -> new ArrayDeque<>());
            known.addLast(mLoads.toldTokens(engine));
            if (known.size() > LATE_LOOKS) {
                known.removeFirst();
            }
            if (ask) {
                ask(engine);
            }
        }
    }

    /**
     * Asks an engine. One that does not answer is passed over by what becomes of its runs.
     *
     * @param engine the engine
     */
    private void ask(UpstreamEntry engine) {
        mEngines.report(engine)
                .whenComplete(
                        (report, failure) -> {
                            if (failure != null) {
                                LOGGER.debug("engine silent id={}", engine.id(), failure);
                                return;
                            }
                            if (report.incarnation().mayBe(engine.incarnation())) {
                                mLoop.execute(() -> reported(engine, report.usedTokens()));
                            }
                        });
    }

    /**
     * Takes a report.
     *
     * @param engine the engine
     * @param used how much of its memory runs took a while ago
     */
    private void reported(UpstreamEntry engine, long used) {
        Deque<Long> known = mKnown.get(engine.incarnation());
        if (known != null) {
            long most = known.stream().mapToLong(Long::longValue).max().orElse(0);
            mLoads.unknown(engine, Math.max(0, used - most), mScope.sharesResults());
        }
    }
}
