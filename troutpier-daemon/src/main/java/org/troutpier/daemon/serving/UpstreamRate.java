package org.troutpier.daemon.serving;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.logging.LogThrottle;
import org.troutpier.daemon.decision.MaxMinFairness;
import org.troutpier.daemon.limit.ArrivalMeter;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.limit.GradualLimit;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.LimitHeadroom;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.limit.UsageMeter;
import org.troutpier.daemon.limit.UsageSettings;

/**
 * The rate announced by one incarnation of an upstream, and the requests sent to it by this router.
 * Confined to the traffic loop. Invariant: no limit applies while the rate is unknown.
 */
final class UpstreamRate {

    /** The window over which a rate is enforced, and the overshoot that upstreams tolerate. */
    static final UsageSettings SETTINGS = new UsageSettings(4, 0.5, 5);

    /** Length of the most recent part of the window, over which the rate is paced, milliseconds. */
    static final double PACE_MILLIS = SETTINGS.windowMillis() * UsageSettings.PACE_FRACTION;

    /**
     * Time without an announcement after which a rate expires, milliseconds: long enough that an
     * upstream that accepts one request in several seconds has announced it again.
     */
    static final long EXPIRY_MILLIS = 30_000;

    /**
     * Lowest rate at which requests are sent, per second. Without any request, no answer could show
     * that the limit has ended.
     */
    static final double MIN_PER_SECOND = 0.1;

    /**
     * Fraction of the tolerated overshoot that may be used in the first window, by calls that were
     * sent before the rate was known.
     */
    private static final double INITIAL_TOLERANCE_FRACTION = 0.5;

    /**
     * Fraction of the window whose calls count although they were sent before the rate was known.
     * It covers the time before the announcement that still lies in a window once the rate is
     * binding, and the time until the announcement arrived here.
     */
    private static final double RETAINED_FRACTION = 0.375;

    /**
     * Factor by which the rate may be exceeded in the most recent part of the window. The window
     * alone enforces the rate; strict pacing would waste a part of it whenever callers pause.
     */
    private static final double PACE_FACTOR = 1.25;

    /**
     * Requests allowed beyond that, since a rate below one request per paced part must still let
     * whole requests through.
     */
    private static final double PACE_ALLOWANCE = 1;

    /** Shortest interval between log lines about changed rates, milliseconds. */
    private static final long CHANGE_LOG_INTERVAL_MILLIS = 1000;

    /** Shortest interval between other log lines about one upstream, milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private static final Logger LOGGER = LogManager.getLogger(UpstreamRate.class);

    private final UpstreamIncarnation mUpstream;

    /** Requests sent to the upstream. */
    private final UsageMeter mUsage = new UsageMeter(SETTINGS.windowMillis());

    /** Requests that arrived for the upstream, by rank and organisation. */
    private final ArrivalMeter mArrivals = new ArrivalMeter(Math.round(PACE_MILLIS));

    /** Requests allowed in a window; undefined while no rate applies. */
    private final GradualLimit mLimit = new GradualLimit(0, SETTINGS.windowMillis());

    /** The rate that applies, requests per second. */
    private double mPerSecond = LastAnnouncedRate.UNLIMITED;

    /** Requests that were withheld. */
    private long mWithheld;

    private boolean mKnown;

    /** Whether the announcement arrived at this router, which then reports it to the others. */
    private boolean mAnnouncedLocally;

    /**
     * When the rate was last announced, milliseconds on the elapsed clock, which includes the time
     * that the machine is suspended.
     */
    private long mAnnouncedAt;

    private final LogThrottle mChangeLogLimiter = new LogThrottle(CHANGE_LOG_INTERVAL_MILLIS);

    private final LogThrottle mLogLimiter = new LogThrottle(LOG_INTERVAL_MILLIS);

    UpstreamRate(UpstreamIncarnation upstream) {
        mUpstream = upstream;
    }

    UpstreamIncarnation upstream() {
        return mUpstream;
    }

    /**
     * Returns the rate that applies.
     *
     * @return requests per second, or {@link LastAnnouncedRate#UNLIMITED}
     */
    double perSecond() {
        return mPerSecond;
    }

    boolean isLimited() {
        return mPerSecond != LastAnnouncedRate.UNLIMITED;
    }

    /** Returns whether an announcement is known, which may also be that the limit has ended. */
    boolean isKnown() {
        return mKnown;
    }

    /**
     * Returns whether this router received the announcement itself and has to report it to the
     * others.
     */
    boolean isAnnouncedLocally() {
        return mKnown && mAnnouncedLocally;
    }

    /**
     * Returns the last announcement.
     *
     * @param elapsed the elapsed clock, milliseconds
     * @return the rate and its current age
     */
    LastAnnouncedRate lastAnnounced(long elapsed) {
        return mKnown
                ? new LastAnnouncedRate(mPerSecond, elapsed - mAnnouncedAt)
                : LastAnnouncedRate.NEVER;
    }

    /**
     * Returns whether the rate was last announced before a call was sent, so that the answer to the
     * call may end the rate.
     *
     * @param sentAt when the call was sent, milliseconds on the elapsed clock
     */
    boolean wasAnnouncedBefore(long sentAt) {
        return sentAt > mAnnouncedAt;
    }

    /**
     * Applies an announcement.
     *
     * @param perSecond the rate, requests per second
     * @param announcedAt when it was announced, milliseconds on the elapsed clock
     * @param local whether this router received it itself
     * @param now the time of the traffic loop, milliseconds
     */
    void update(double perSecond, long announcedAt, boolean local, long now) {
        if (perSecond != mPerSecond) {
            applyChange(perSecond, local ? "answer" : "router", now);
        }
        mPerSecond = perSecond;
        mKnown = true;
        mAnnouncedAt = announcedAt;
        mAnnouncedLocally = local;
    }

    /**
     * Drops an announcement that was not repeated in time.
     *
     * @param elapsed the elapsed clock, milliseconds
     * @param now the time of the traffic loop, milliseconds
     */
    void expire(long elapsed, long now) {
        if (mKnown && elapsed - mAnnouncedAt >= EXPIRY_MILLIS) {
            if (isLimited()) {
                applyChange(LastAnnouncedRate.UNLIMITED, "silence", now);
            }
            mPerSecond = LastAnnouncedRate.UNLIMITED;
            mKnown = false;
        }
    }

    /**
     * Sets the limit of the window. Requests sent before the first announcement count as far as the
     * upstream may still be working on them.
     *
     * @param perSecond the rate, requests per second
     * @param now the time of the traffic loop, milliseconds
     */
    private void applyChange(double perSecond, String source, long now) {
        if (mChangeLogLimiter.tryAcquire(now)) {
            LOGGER.info(
                    "upstream rate changed id={} perSecond={} before={} source={}",
                    mUpstream,
                    format(perSecond),
                    format(mPerSecond),
                    source);
        }
        if (perSecond == LastAnnouncedRate.UNLIMITED) {
            return;
        }
        double limit = Math.max(MIN_PER_SECOND, perSecond) * SETTINGS.windowSeconds();
        if (isLimited()) {
            mLimit.set(limit, now);
        } else {
            mLimit.set(limit, limit + INITIAL_TOLERANCE_FRACTION * SETTINGS.tolerance(limit), now);
            mUsage.discardOlder(RETAINED_FRACTION, now);
        }
    }

    /** Records the arrival of a request, whether it is sent or not. */
    void recordArrival(FlowKey flow, long now) {
        mUsage.recordRequested(1, now);
        mArrivals.record(flow, now);
    }

    void recordSent(long now) {
        mUsage.recordUsed(1, now);
    }

    void recordWithheld() {
        mWithheld++;
    }

    /** Returns the number of withheld requests since the rate was first announced. */
    long withheld() {
        return mWithheld;
    }

    /**
     * Refunds a request that was recorded as sent.
     *
     * @param at when it was recorded, milliseconds
     * @param now the time of the traffic loop, milliseconds
     */
    void refund(long at, long now) {
        mUsage.subtract(1, at, now);
    }

    RecentUsage recentUsage(long now) {
        return mUsage.recent(now);
    }

    /**
     * Returns the report for the other routers.
     *
     * @param elapsed the elapsed clock, milliseconds
     * @param now the time of the traffic loop, milliseconds
     */
    RateReport report(long elapsed, long now) {
        LastAnnouncedRate announced =
                isAnnouncedLocally() ? lastAnnounced(elapsed) : LastAnnouncedRate.NEVER;
        return new RateReport(announced, recentUsage(now), mArrivals.byRank(now));
    }

    /**
     * Returns the probability with which a request is sent. Requests of a more urgent rank come
     * first; within a rank, organisations share max-min fairly.
     *
     * @param share returns the part of a limit that the routers that reach each other may use
     * @param now the time of the traffic loop, milliseconds
     * @return the probability; values of 0 or less mean never, values of 1 or more always
     */
    double admissionProbability(
            FlowKey flow, RateReport peers, DoubleUnaryOperator share, long now) {
        List<Long> local = mArrivals.byRank(now);
        double ahead = 0;
        for (int rank = 0; rank < flow.rank(); rank++) {
            ahead += arrivals(local, rank) + arrivals(peers.asked(), rank);
        }
        double sameRank = arrivals(local, flow.rank()) + arrivals(peers.asked(), flow.rank());
        double probability = headroom(peers, share, now).admissionProbability(1, ahead, sameRank);
        return probability <= 0 || probability >= 1
                ? probability
                : new MaxMinFairness<>(mArrivals.byOrganisation(flow.rank(), now), probability)
                        .probabilityFor(flow.organisation());
    }

    /** Returns the headroom of the limit, in requests. */
    private LimitHeadroom headroom(RateReport peers, DoubleUnaryOperator share, long now) {
        double paced = mLimit.target() * UsageSettings.PACE_FRACTION * PACE_FACTOR + PACE_ALLOWANCE;
        return new LimitHeadroom(
                recentUsage(now),
                peers.use(),
                share.applyAsDouble(mLimit.current(now)),
                share.applyAsDouble(paced),
                PACE_MILLIS);
    }

    private static double arrivals(List<Long> byRank, int rank) {
        return rank < byRank.size() ? byRank.get(rank) : 0;
    }

    /** Returns whether a frequent event may be logged now, and if so starts a new interval. */
    boolean shouldLog(long now) {
        return mLogLimiter.tryAcquire(now);
    }

    private static String format(double perSecond) {
        return perSecond == LastAnnouncedRate.UNLIMITED ? "none" : Double.toString(perSecond);
    }
}
