package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.NoticeState;
import org.troutpier.daemon.notice.UpstreamNotice;

/**
 * Notices that upstreams announced to this router: that they are leaving, and for how long they
 * request a back-off. Confined to the traffic loop, except for {@link #backOffMillis}. Invariants:
 * a notice belongs to one incarnation of an upstream; leaving is final for that incarnation; a
 * back-off ends by itself and is never shortened.
 */
public final class UpstreamNotices {

    /** Path at which operators list the notices of upstreams. */
    public static final String PATH = "/notices";

    /** Prefix of the metrics of an upstream. */
    private static final String METRIC_PREFIX = "upstream.";

    private static final Logger LOGGER = LogManager.getLogger(UpstreamNotices.class);

    private final TrafficLoop mLoop;

    /** Spreads the return to upstreams after a back-off. */
    private final RandomGenerator mRandom;

    private final MetricRegistry mMetrics;

    private final Map<UpstreamIncarnation, State> mStates = new ConcurrentHashMap<>();

    private Consumer<UpstreamIncarnation> mOnLeaving = incarnation -> {};

    /** Notices of one upstream. */
    private static final class State {

        private boolean mLeaving;

        private final UpstreamBackOff mBackOff = new UpstreamBackOff();

        /** Calls sent to it since its last new notice. */
        private long mSentSince;
    }

    /**
     * Notices of an upstream, as shown to operators. Immutable and thread safe.
     *
     * @param upstream the upstream
     * @param leaving whether it is leaving
     * @param backOffMillis remaining back-off, milliseconds
     * @param sentSince calls sent to it since its last new notice
     * @param withheld calls withheld from it because of a back-off
     */
    public record Status(
            String upstream, boolean leaving, long backOffMillis, long sentSince, long withheld) {}

    /** Creates an instance without any notice. */
    public UpstreamNotices(TrafficLoop loop, RandomGenerator random, MetricRegistry metrics) {
        mLoop = loop;
        mRandom = random;
        mMetrics = metrics;
    }

    /**
     * Sets the listener for incarnations that announce that they are leaving; each is reported
     * once.
     *
     * @param listener the listener, called on the traffic loop
     */
    public void onLeaving(Consumer<UpstreamIncarnation> listener) {
        mOnLeaving = listener;
    }

    /** Records the notices of an answer. */
    void record(UpstreamEntry upstream, UpstreamNotice notice) {
        if (notice.leaving() == NoticeState.ANNOUNCED) {
            recordLeaving(upstream);
        }
        if (notice.backOff().state() == NoticeState.ANNOUNCED) {
            recordBackOff(upstream, notice.backOff().millis());
        }
        if (notice.leaving() == NoticeState.UNREADABLE
                || notice.backOff().state() == NoticeState.UNREADABLE) {
            count(upstream, "notice-unreadable");
            LOGGER.debug("cannot parse notice of upstream id={}", upstream.incarnation());
        }
    }

    private void recordLeaving(UpstreamEntry upstream) {
        State state = state(upstream.incarnation());
        count(upstream, "leaving-announced");
        if (!state.mLeaving) {
            state.mLeaving = true;
            state.mSentSince = 0;
            LOGGER.info(
                    "upstream announced that it is leaving id={} service={} address={}",
                    upstream.incarnation(),
                    upstream.service(),
                    upstream.address());
            mOnLeaving.accept(upstream.incarnation());
        }
    }

    private void recordBackOff(UpstreamEntry upstream, long millis) {
        State state = state(upstream.incarnation());
        count(upstream, "back-off-asked");
        long now = mLoop.millis();
        if (state.mBackOff.endsAt() <= now) {
            state.mSentSince = 0;
            LOGGER.info(
                    "upstream asks for a back-off id={} millis={}", upstream.incarnation(), millis);
        }
        state.mBackOff.extend(millis, now, mRandom);
    }

    /**
     * Returns whether an upstream may be sent a call that makes it work.
     *
     * @param activeCalls the calls that this router has in flight at the upstream
     * @return whether it may; false while it is leaving or in a back-off
     */
    boolean admits(UpstreamEntry upstream, int activeCalls) {
        State state = mStates.get(upstream.incarnation());
        return state == null
                || !state.mLeaving && state.mBackOff.admits(activeCalls, mLoop.millis());
    }

    /**
     * Returns the remaining back-off of an upstream. Thread safe.
     *
     * @return milliseconds; 0 if it accepts calls
     */
    public long backOffMillis(UpstreamEntry upstream) {
        State state = mStates.get(upstream.incarnation());
        return state == null ? 0 : Math.max(0, state.mBackOff.endsAt() - mLoop.millis());
    }

    /**
     * Records a successful call.
     *
     * @param tookMillis time since the call was sent, milliseconds
     */
    void recordSuccess(UpstreamEntry upstream, long tookMillis) {
        State state = mStates.get(upstream.incarnation());
        if (state != null) {
            state.mBackOff.recordSuccess(mLoop.millis() - tookMillis);
        }
    }

    void recordSent(UpstreamEntry upstream) {
        State state = mStates.get(upstream.incarnation());
        if (state != null) {
            state.mSentSince++;
        }
    }

    /**
     * Returns the upstreams that are leaving or in a back-off.
     *
     * @return their states, sorted by upstream
     */
    public List<Status> statuses() {
        long now = mLoop.millis();
        List<Status> statuses = new ArrayList<>();
        mStates.forEach(
                (upstream, state) -> {
                    long remaining = Math.max(0, state.mBackOff.endsAt() - now);
                    if (state.mLeaving || remaining > 0) {
                        statuses.add(
                                new Status(
                                        upstream.toString(),
                                        state.mLeaving,
                                        remaining,
                                        state.mSentSince,
                                        state.mBackOff.withheld()));
                    }
                });
        statuses.sort(Comparator.comparing(Status::upstream));
        return statuses;
    }

    /** Removes upstreams that are no longer listed and whose back-off is over. */
    void retain(Set<UpstreamIncarnation> listed) {
        long now = mLoop.millis();
        mStates.entrySet()
                .removeIf(
                        each ->
                                !listed.contains(each.getKey())
                                        && each.getValue().mBackOff.isOver(now));
    }

    private void count(UpstreamEntry upstream, String metric) {
        mMetrics.counter(METRIC_PREFIX + upstream.id() + "." + metric).inc();
    }

    private State state(UpstreamIncarnation upstream) {
        return mStates.computeIfAbsent(upstream, any -> new State());
    }
}
