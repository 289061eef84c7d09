package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.collection.ExpiringMap;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.Withholding;

/**
 * Determines which lost calls were lost because their upstream crashed, records these crashes
 * against the requests that the upstream was working on, and keeps requests from upstreams after
 * several crashes. Confined to the traffic loop. Invariant: a crash counts only if the upstream no
 * longer accepts connections or is known to have restarted, and was not leaving; a lost answer, a
 * silent upstream, a broken network path and a planned shutdown are not attributed to any request.
 */
public final class CrashGuard {

    /**
     * Longest time for which a request whose call was lost waits for the result of the probe,
     * milliseconds. A machine that closed a connection answers within a few; one with three times
     * the load that it can handle can take longer than 50 ms, and a request that is retried before
     * the answer can crash another upstream.
     */
    static final long ATTRIBUTION_TIMEOUT_MILLIS = 300;

    /**
     * How long a request waits after the crash of its upstream is known, milliseconds. By then the
     * crashes that other routers found at the same moment are known too. A stream has hundreds of
     * milliseconds between two events, so one that is resumed elsewhere is not delayed noticeably.
     */
    static final long SETTLE_MILLIS = 50;

    /**
     * How long a crash is remembered, milliseconds: calls lost with it are reported within
     * milliseconds, those over a slow link within seconds.
     */
    private static final long CRASH_TTL_MILLIS = 10_000;

    /** Maximum number of crashes remembered: many times what occurs in that time. */
    private static final int MAX_RECENT_CRASHES = 1000;

    /**
     * How long a request must have written to prove the parts of its prompt sound, milliseconds. A
     * part crashes an upstream soon after the first event.
     */
    static final long SOUND_WRITING_MILLIS = 2000;

    private static final Logger LOGGER = LogManager.getLogger(CrashGuard.class);

    private final TrafficLoop mLoop;

    /** Probes upstreams. */
    private final UpstreamPort mPort;

    /** Lists which upstreams are leaving or have restarted. */
    private final UpstreamDirectory mDirectory;

    /** The crashes recorded against requests. */
    private final Quarantine mQuarantine;

    /** Counts crashed upstreams. */
    private final Counter mCrashCount;

    /**
     * Counts lost calls whose upstream was not found to have crashed: it accepts connections, or
     * the probe got no answer.
     */
    private final Counter mAliveCount;

    /** Upstreams with a probe in flight. */
    private final Map<UpstreamIncarnation, Probe> mProbes = new HashMap<>();

    /** Upstreams that crashed recently. */
    private final ExpiringMap<UpstreamIncarnation, Boolean> mRecentCrashes =
            new ExpiringMap<>(MAX_RECENT_CRASHES, CRASH_TTL_MILLIS);

    private final UnexplainedLosses mUnexplained = new UnexplainedLosses();

    /** Creates a guard. */
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
        mCrashCount = metrics.counter("upstreams.ended");
        mAliveCount = metrics.counter("upstreams.lost-calls-alive");
        quarantine.onReportedCrash(this::onReportedCrash);
    }

    /**
     * Records a crash that another router found against the requests that were lost here with it.
     */
    private void onReportedCrash(UpstreamIncarnation upstream) {
        long now = mLoop.millis();
        mRecentCrashes.put(upstream, Boolean.TRUE, now);
        mUnexplained
                .remove(upstream, now)
                .forEach(loss -> mQuarantine.recordCrash(loss.traits(), upstream));
    }

    /** Returns the quarantine in which crashes are recorded. */
    public Quarantine quarantine() {
        return mQuarantine;
    }

    /**
     * Returns why a request must not be run, if so, and counts it. Checked before each call, since
     * another router may have reported one of its traits while it waited.
     */
    Optional<Withholding> withhold(RequestTraits traits) {
        if (mQuarantine.isEmpty()) {
            return Optional.empty();
        }
        return mQuarantine.withhold(
                traits.service(),
                mightBeKnown(traits) ? traits.all() : traits.parts(),
                traits.trialPermit());
    }

    /**
     * Returns whether a crash may be recorded against a request's content. The body is hashed only
     * for requests with a known coarse hash, and nothing is hashed while the quarantine is empty.
     */
    private boolean mightBeKnown(RequestTraits traits) {
        return !mQuarantine.isEmpty() && mQuarantine.mightContain(traits.coarseHash());
    }

    /** Records that a request was completed. */
    void recordCompletion(RequestTraits traits) {
        mQuarantine.recordServed(traits.service());
        traits.parts().forEach(mQuarantine::recordSound);
        if (mightBeKnown(traits)) {
            mQuarantine.recordCompletion(traits.content());
        }
    }

    /**
     * Determines why a call was lost on whose request the upstream was working, and records a crash
     * of the upstream against that request, also if it is found after the listener was called. A
     * request that wrote for {@link #SOUND_WRITING_MILLIS} proves its parts sound.
     *
     * @param writingMillis how long the upstream had written the answer, milliseconds; 0 if it had
     *     not begun
     * @param listener called once with whether the upstream is known to have crashed: as soon as
     *     the probe finds no crash, {@link #SETTLE_MILLIS} after it is known to have crashed, or
     *     after {@link #ATTRIBUTION_TIMEOUT_MILLIS} if nothing is known; at once with false if the
     *     upstream may no longer receive work and is not known to have crashed
     */
    void attributeLoss(
            UpstreamEntry upstream,
            RequestTraits traits,
            long writingMillis,
            Consumer<Boolean> listener) {
        if (writingMillis >= SOUND_WRITING_MILLIS) {
            traits.parts().forEach(mQuarantine::recordSound);
        }
        UpstreamIncarnation incarnation = upstream.incarnation();
        if (mRecentCrashes.contains(incarnation, mLoop.millis())) {
            mQuarantine.recordCrash(traits.all(), incarnation);
            new LostCall(traits, listener).markCrashed();
        } else if (mProbes.containsKey(incarnation)) {
            mProbes.get(incarnation).mLostSinceSent.add(new LostCall(traits, listener));
        } else if (mDirectory.usable(upstream).isPresent()) {
            Probe probe = new Probe(upstream);
            probe.mLost.add(new LostCall(traits, listener));
            mProbes.put(incarnation, probe);
            probe.send();
        } else {
            listener.accept(false);
        }
    }

    /** A call that was lost. Confined to the traffic loop. */
    private final class LostCall {

        private final RequestTraits mTraits;

        /** Called with whether the upstream crashed. */
        private final Consumer<Boolean> mListener;

        /** Ends the wait. */
        private TrafficLoop.Timer mTimer;

        /** Whether the upstream is known to have crashed. */
        private boolean mUpstreamCrashed;

        /** Whether the listener was called. */
        private boolean mNotified;

        LostCall(RequestTraits traits, Consumer<Boolean> listener) {
            mTraits = traits;
            mListener = listener;
            mTimer = mLoop.schedule(this::notifyListener, ATTRIBUTION_TIMEOUT_MILLIS);
        }

        /**
         * Records that the upstream crashed, and notifies the listener after {@link
         * #SETTLE_MILLIS}.
         */
        void markCrashed() {
            mUpstreamCrashed = true;
            mTimer.cancel();
            mTimer = mLoop.schedule(this::notifyListener, SETTLE_MILLIS);
        }

        /** Notifies the listener, unless it was notified before. */
        void notifyListener() {
            mTimer.cancel();
            if (!mNotified) {
                mNotified = true;
                mListener.accept(mUpstreamCrashed);
            }
        }
    }

    /** A probe of one upstream. Confined to the traffic loop. */
    private final class Probe {

        private final UpstreamEntry mUpstream;

        /** Calls that were lost before the probe was sent. */
        private List<LostCall> mLost = new ArrayList<>();

        /** Calls that were lost since, about which the result of the probe may say nothing. */
        private List<LostCall> mLostSinceSent = new ArrayList<>();

        Probe(UpstreamEntry upstream) {
            mUpstream = upstream;
        }

        /** Sends the probe. */
        void send() {
            mPort.probe(mUpstream, this::onResult);
        }

        private void onResult(UpstreamPort.ProbeResult result) {
            boolean crashed =
                    mDirectory.hasRestarted(mUpstream.incarnation())
                            || mRecentCrashes.contains(mUpstream.incarnation(), mLoop.millis());
            if (crashed || result == UpstreamPort.ProbeResult.NOT_LISTENING) {
                onCrashed();
            } else {
                onAlive();
            }
        }

        /**
         * Handles a result that proves no crash, which may also be {@link
         * UpstreamPort.ProbeResult#UNKNOWN}: ends the probe, or sends another one for calls that
         * were lost since.
         */
        private void onAlive() {
            mAliveCount.inc(mLost.size());
            mLost.forEach(
                    call ->
                            mUnexplained.add(
                                    mUpstream.incarnation(), call.mTraits.all(), mLoop.millis()));
            List<LostCall> attributed = mLost;
            mLost = mLostSinceSent;
            mLostSinceSent = new ArrayList<>();
            if (mLost.isEmpty()) {
                mProbes.remove(mUpstream.incarnation());
            } else {
                send();
            }
            attributed.forEach(LostCall::notifyListener);
        }

        /** Records the crash against all requests that the upstream was working on. */
        private void onCrashed() {
            UpstreamIncarnation incarnation = mUpstream.incarnation();
            mProbes.remove(incarnation);
            mRecentCrashes.put(incarnation, Boolean.TRUE, mLoop.millis());
            mLost.addAll(mLostSinceSent);
            mCrashCount.inc();
            LOGGER.warn("upstream crashed id={} requests={}", incarnation, mLost.size());
            mLost.forEach(LostCall::markCrashed);
            mLost.forEach(call -> mQuarantine.recordCrash(call.mTraits.all(), incarnation));
        }
    }
}
