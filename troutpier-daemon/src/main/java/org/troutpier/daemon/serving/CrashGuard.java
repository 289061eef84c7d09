package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.collection.AgingMap;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/**
 * Finds out which lost calls were lost because their upstream ended, holds those ends against what
 * was asked for, and keeps from upstreams what has ended several. Confined to the traffic loop.
 * Invariant: an end counts only where the upstream takes no connections any more and was not
 * leaving: a lost answer, a silence, a cut path and a planned end are nobody's guilt.
 */
public final class CrashGuard {

    /**
     * How long a request whose call was lost waits at most to hear whether its upstream ended,
     * milliseconds. A machine that closed a connection answers in a few; on one with three times
     * the work it can do, requests that waited 50 went on before the answer and ended a fourth
     * upstream.
     */
    static final long JUDGED_MILLIS = 300;

    /**
     * How long a request waits after its upstream is known to have ended, milliseconds: what other
     * routers found in the same moment is heard by then, and a stream that goes on elsewhere has
     * hundreds between two events.
     */
    static final long SETTLED_MILLIS = 50;

    /**
     * How long an end is remembered, milliseconds: calls that were lost with it are told within
     * some milliseconds, those into a slow link within seconds.
     */
    private static final long ENDED_MILLIS = 10_000;

    /** How many ends are remembered: many times what ends in that time. */
    private static final int MOST_ENDED = 1000;

    /** Logs each end. */
    private static final Logger LOGGER = LogManager.getLogger(CrashGuard.class);

    /** The clock. */
    private final TrafficLoop mLoop;

    /** Asks upstreams whether they listen. */
    private final UpstreamPort mPort;

    /** Tells which upstreams are leaving. */
    private final UpstreamDirectory mDirectory;

    /** What is held against requests. */
    private final Quarantine mQuarantine;

    /** Counts upstreams that ended. */
    private final Counter mEnds;

    /** Counts lost calls whose upstream had not ended. */
    private final Counter mAlive;

    /** Counts requests that were not run. */
    private final Counter mWithheld;

    /** The upstreams that are being asked. */
    private final Map<UpstreamIncarnation, Check> mChecks = new HashMap<>();

    /** The upstreams that have ended. */
    private final AgingMap<UpstreamIncarnation, Boolean> mEndedStarts =
            new AgingMap<>(MOST_ENDED, ENDED_MILLIS);

    /**
     * Creates a guard.
     *
     * @param loop the clock
     * @param port asks upstreams whether they listen
     * @param directory tells which upstreams are leaving
     * @param quarantine what is held against requests
     * @param metrics counts
     */
    public CrashGuard(
            TrafficLoop loop,
            UpstreamPort port,
            UpstreamDirectory directory,
            Quarantine quarantine,
            MetricRegistry metrics) {
        mLoop = loop;
        mPort = port;
        mDirectory = directory;
        mQuarantine = quarantine;
        mEnds = metrics.counter("upstreams.ended");
        mAlive = metrics.counter("upstreams.lost-calls-alive");
        mWithheld = metrics.counter("quarantine.withheld");
    }

    /**
     * Returns what is held against requests.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return mQuarantine;
    }

    /**
     * Returns whether a request must not be run. Asked before each call, since others may have told
     * of it while the request waited.
     *
     * @param content what the request asks for
     * @return whether it is in quarantine
     */
    boolean isQuarantined(LazyFingerprint content) {
        boolean withheld = known(content) && mQuarantine.isQuarantined(content.get());
        if (withheld) {
            mWithheld.inc();
        }
        return withheld;
    }

    /**
     * Returns whether something may be known of a request. Most are told apart without a hash of
     * their bodies, and while nothing is known at all without any.
     *
     * @param content what the request asks for
     * @return whether it may be
     */
    private boolean known(LazyFingerprint content) {
        return !mQuarantine.isEmpty() && mQuarantine.mightContain(content.coarseHash());
    }

    /**
     * Records that a request ran whole.
     *
     * @param content what the request asks for
     */
    void recordCompletion(LazyFingerprint content) {
        if (known(content)) {
            mQuarantine.recordCompletion(content.get());
        }
    }

    /**
     * Records that an upstream worked on a request and the call was lost.
     *
     * @param upstream where it was
     * @param request the request
     * @param judged told once whether the upstream is known to have ended: as soon as it is known
     *     to go on, {@link #SETTLED_MILLIS} after it is known to have ended, and after {@link
     *     #JUDGED_MILLIS} at the latest where nothing is known
     */
    void attributeLoss(
            UpstreamEntry upstream, RequestFingerprint request, Consumer<Boolean> judged) {
        UpstreamIncarnation start = upstream.incarnation();
        if (mEndedStarts.contains(start, mLoop.millis())) {
            mQuarantine.recordCrash(request, start);
            new Loss(request, judged).ended();
        } else if (mChecks.containsKey(start)) {
            mChecks.get(start).mLate.add(new Loss(request, judged));
        } else if (mDirectory.usable(upstream).isPresent()) {
            Check check = new Check(upstream);
            check.mLost.add(new Loss(request, judged));
            mChecks.put(start, check);
            check.ask();
        } else {
            judged.accept(false);
        }
    }

    /** One call that was lost. Confined to the traffic loop. */
    private final class Loss {

        /** The request. */
        private final RequestFingerprint mRequest;

        /** Told whether the upstream ended. */
        private final Consumer<Boolean> mJudged;

        /** Ends the wait. */
        private TrafficLoop.Timer mTimer;

        /** Whether the upstream is known to have ended. */
        private boolean mEnded;

        /** Whether it was told. */
        private boolean mTold;

        /**
         * Creates a loss.
         *
         * @param request the request
         * @param judged told whether the upstream ended
         */
        Loss(RequestFingerprint request, Consumer<Boolean> judged) {
            mRequest = request;
            mJudged = judged;
            mTimer = mLoop.schedule(this::tell, JUDGED_MILLIS);
        }

        /** Takes note that the upstream has ended, which is told a little later. */
        void ended() {
            mEnded = true;
            mTimer.cancel();
            mTimer = mLoop.schedule(this::tell, SETTLED_MILLIS);
        }

        /** Tells what is known, the first time. */
        void tell() {
            mTimer.cancel();
            if (!mTold) {
                mTold = true;
                mJudged.accept(mEnded);
            }
        }
    }

    /** One upstream that is asked whether it listens. Confined to the traffic loop. */
    private final class Check {

        /** The upstream. */
        private final UpstreamEntry mUpstream;

        /** The calls that were lost before it was asked. */
        private List<Loss> mLost = new ArrayList<>();

        /** The calls that were lost since, of which the answer may say nothing. */
        private List<Loss> mLate = new ArrayList<>();

        /**
         * Creates a check.
         *
         * @param upstream the upstream
         */
        Check(UpstreamEntry upstream) {
            mUpstream = upstream;
        }

        /** Asks the upstream. */
        void ask() {
            mPort.probe(mUpstream, this::answered);
        }

        /**
         * Goes on with an answer.
         *
         * @param listening whether it listens
         */
        private void answered(UpstreamPort.ProbeResult listening) {
            boolean restarted = mDirectory.hasRestarted(mUpstream.incarnation());
            if (restarted || listening == UpstreamPort.ProbeResult.NOT_LISTENING) {
                ended();
            } else {
                alive();
            }
        }

        /** Ends the check, or asks again for what was lost since. */
        private void alive() {
            mAlive.inc(mLost.size());
            List<Loss> judged = mLost;
            mLost = mLate;
            mLate = new ArrayList<>();
            if (mLost.isEmpty()) {
                mChecks.remove(mUpstream.incarnation());
            } else {
                ask();
            }
            judged.forEach(Loss::tell);
        }

        /** Holds the upstream's end against all that it worked on. */
        private void ended() {
            UpstreamIncarnation start = mUpstream.incarnation();
            mChecks.remove(start);
            mEndedStarts.put(start, Boolean.TRUE, mLoop.millis());
            mLost.addAll(mLate);
            mEnds.inc();
            LOGGER.warn("upstream ended id={} requests={}", start, mLost.size());
            mLost.forEach(Loss::ended);
            mLost.forEach(loss -> mQuarantine.recordCrash(loss.mRequest, start));
        }
    }
}
