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
 * What upstreams have announced of themselves to this router: that they leave, and for how long
 * they want no call. Confined to the traffic loop, except for {@link #backOffMillis}. Invariants: a
 * word belongs to one start of an upstream; leaving is final for that start; a back-off ends by
 * itself and is never shortened.
 */
public final class UpstreamNotices {

    /** Where operators list what upstreams have announced. */
    public static final String PATH = "/notices";

    /** What the names of an upstream's figures begin with. */
    private static final String FIGURES = "upstream.";

    /** Logs what is announced for the first time. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamNotices.class);

    /** The clock. */
    private final TrafficLoop mLoop;

    /** Spreads the returns to upstreams. */
    private final RandomGenerator mRandom;

    /** Counts by upstream. */
    private final MetricRegistry mMetrics;

    /** What is known of each upstream that has announced something. */
    private final Map<UpstreamIncarnation, State> mStates = new ConcurrentHashMap<>();

    /** Receives the starts that leave. */
    private Consumer<UpstreamIncarnation> mOnLeaving = start -> {};

    /** What one upstream has announced. */
    private static final class State {

        /** Whether it leaves. */
        private boolean mLeaving;

        /** The back-off that it has asked for. */
        private final UpstreamBackOff mBackOff = new UpstreamBackOff();

        /** Calls that were sent to it since it last announced something new. */
        private long mSentSince;
    }

    /**
     * What one upstream has announced, as operators see it. Immutable and thread safe.
     *
     * @param upstream the upstream
     * @param leaving whether it leaves
     * @param backOffMillis for how long it still wants no call, milliseconds
     * @param sentSince calls that were sent to it since it last announced something new
     * @param withheld calls that were not sent to it for a back-off
     */
    public record Status(
            String upstream, boolean leaving, long backOffMillis, long sentSince, long withheld) {}

    /**
     * Creates a view in which no upstream has announced anything.
     *
     * @param loop the clock
     * @param random spreads the returns to upstreams
     * @param metrics counts by upstream
     */
    public UpstreamNotices(TrafficLoop loop, RandomGenerator random, MetricRegistry metrics) {
        mLoop = loop;
        mRandom = random;
        mMetrics = metrics;
    }

    /**
     * Sets who receives the starts of upstreams that announce that they leave, each once.
     *
     * @param listener receives them on the traffic loop
     */
    public void onLeaving(Consumer<UpstreamIncarnation> listener) {
        mOnLeaving = listener;
    }

    /**
     * Takes what an answer announces.
     *
     * @param upstream whose answer it is
     * @param notice what it announces
     */
    void received(UpstreamEntry upstream, UpstreamNotice notice) {
        if (notice.leaving() == NoticeState.ANNOUNCED) {
            leaves(upstream);
        }
        if (notice.backOff().state() == NoticeState.ANNOUNCED) {
            backsOff(upstream, notice.backOff().millis());
        }
        if (notice.leaving() == NoticeState.UNREADABLE
                || notice.backOff().state() == NoticeState.UNREADABLE) {
            count(upstream, "notice-unreadable");
            LOGGER.debug("upstream notice not readable id={}", upstream.incarnation());
        }
    }

    /**
     * Takes note that an upstream leaves.
     *
     * @param upstream the upstream
     */
    private void leaves(UpstreamEntry upstream) {
        State state = state(upstream.incarnation());
        count(upstream, "leaving-announced");
        if (!state.mLeaving) {
            state.mLeaving = true;
            state.mSentSince = 0;
            LOGGER.info(
                    "upstream announces that it leaves id={} service={} address={}",
                    upstream.incarnation(),
                    upstream.service(),
                    upstream.address());
            mOnLeaving.accept(upstream.incarnation());
        }
    }

    /**
     * Takes note that an upstream wants no call for a while.
     *
     * @param upstream the upstream
     * @param millis for how long, milliseconds
     */
    private void backsOff(UpstreamEntry upstream, long millis) {
        State state = state(upstream.incarnation());
        count(upstream, "back-off-asked");
        long now = mLoop.millis();
        if (state.mBackOff.endsAt() <= now) {
            state.mSentSince = 0;
            LOGGER.info(
                    "upstream asks for a back-off id={} millis={}", upstream.incarnation(), millis);
        }
        state.mBackOff.asked(millis, now, mRandom);
    }

    /**
     * Returns whether an upstream may be sent a call that it works on.
     *
     * @param upstream the upstream
     * @param underWay how many calls of this router are under way there
     * @return whether it may; false while it leaves or wants no call
     */
    boolean admits(UpstreamEntry upstream, int underWay) {
        State state = mStates.get(upstream.incarnation());
        return state == null || !state.mLeaving && state.mBackOff.admits(underWay, mLoop.millis());
    }

    /**
     * Returns for how long an upstream wants no call. Thread safe.
     *
     * @param upstream the upstream
     * @return milliseconds; 0 where it takes calls
     */
    public long backOffMillis(UpstreamEntry upstream) {
        State state = mStates.get(upstream.incarnation());
        return state == null ? 0 : Math.max(0, state.mBackOff.endsAt() - mLoop.millis());
    }

    /**
     * Takes note that an upstream worked on a call and was successful.
     *
     * @param upstream the upstream
     * @param tookMillis how long ago the call was sent, milliseconds
     */
    void succeeded(UpstreamEntry upstream, long tookMillis) {
        State state = mStates.get(upstream.incarnation());
        if (state != null) {
            state.mBackOff.succeeded(mLoop.millis() - tookMillis);
        }
    }

    /**
     * Counts a call that is sent.
     *
     * @param upstream where to
     */
    void sent(UpstreamEntry upstream) {
        State state = mStates.get(upstream.incarnation());
        if (state != null) {
            state.mSentSince++;
        }
    }

    /**
     * Returns what is known of each upstream that leaves or wants no call now.
     *
     * @return the upstreams, by name
     */
    public List<Status> statuses() {
        long now = mLoop.millis();
        List<Status> standings = new ArrayList<>();
        mStates.forEach(
                (upstream, state) -> {
                    long left = Math.max(0, state.mBackOff.endsAt() - now);
                    if (state.mLeaving || left > 0) {
                        standings.add(
                                new Status(
                                        upstream.toString(),
                                        state.mLeaving,
                                        left,
                                        state.mSentSince,
                                        state.mBackOff.withheld()));
                    }
                });
        standings.sort(Comparator.comparing(Status::upstream));
        return standings;
    }

    /**
     * Forgets upstreams that are no longer listed and whose back-off is over.
     *
     * @param listed the starts that are listed
     */
    void retain(Set<UpstreamIncarnation> listed) {
        long now = mLoop.millis();
        mStates.entrySet()
                .removeIf(
                        each ->
                                !listed.contains(each.getKey())
                                        && each.getValue().mBackOff.returned(now));
    }

    /**
     * Counts for an upstream.
     *
     * @param upstream the upstream
     * @param what what is counted
     */
    private void count(UpstreamEntry upstream, String what) {
        mMetrics.counter(FIGURES + upstream.id() + "." + what).inc();
    }

    /**
     * Returns what is known of an upstream.
     *
     * @param upstream the upstream
     * @return its state, made where it has announced nothing yet
     */
    private State state(UpstreamIncarnation upstream) {
        return mStates.computeIfAbsent(upstream, any -> new State());
    }
}
