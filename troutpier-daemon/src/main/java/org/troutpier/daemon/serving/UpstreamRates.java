package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.decision.LimitShare;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.PeerRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.notice.AnnouncedRate;
import org.troutpier.daemon.notice.NoticeState;

/**
 * Enforces the rates that overloaded upstreams announce in their answers, across all routers: each
 * router counts the requests that it sends, reports them together with its load, and sends what the
 * sum leaves available. Confined to the traffic loop. Invariants: the requests of this router,
 * together with those reported by the others, stay within the {@link LimitShare}; a rate belongs to
 * one incarnation of an upstream; it applies until the answer to a later call announces another
 * rate or none, or until it was not announced for {@link UpstreamRate#EXPIRY_MILLIS}.
 */
public final class UpstreamRates {

    /** Path at which operators list the upstreams that announce rates. */
    public static final String PATH = "/rates";

    /** Shortest retry delay of a caller whose request no upstream accepts, milliseconds. */
    private static final long MIN_RETRY_MILLIS = 100;

    private static final double MILLIS_PER_SECOND = 1000;

    /** Prefix of the metrics of an upstream. */
    private static final String METRIC_PREFIX = "upstream.";

    private static final Logger LOGGER = LogManager.getLogger(UpstreamRates.class);

    private final TrafficLoop mLoop;

    /**
     * Clock of the control state, which includes the time that the machine is suspended,
     * milliseconds.
     */
    private final LongSupplier mElapsed;

    /** Rates and usage reported by the other routers. */
    private final PeerRates mPeers;

    /** Decides whether a request is sent for which there is only partial headroom. */
    private final RandomGenerator mRandom;

    /** Supplies the number of routers that may exist. */
    private final IntSupplier mKnownRouters;

    private final MetricRegistry mMetrics;

    private final Map<UpstreamIncarnation, UpstreamRate> mRates = new HashMap<>();

    /** Whether there are changes that were not reported to the other routers. */
    private boolean mUnreportedChanges;

    /**
     * State of an upstream that announces a rate, as shown to operators. Immutable and thread safe.
     *
     * @param upstream the upstream
     * @param perSecond the rate, requests per second
     * @param ageMillis time since the last announcement, milliseconds
     * @param here requests that this router sent in the window
     * @param elsewhere requests that the other routers sent in the window
     * @param withheld requests that this router withheld since the first announcement
     */
    public record Status(
            String upstream,
            double perSecond,
            long ageMillis,
            long here,
            long elsewhere,
            long withheld) {}

    /**
     * Creates an instance without any known rate.
     *
     * @param elapsed the clock of the control state, milliseconds
     * @param random decides whether a request is sent for which there is only partial headroom
     * @param knownRouters supplies the number of routers that may exist, this one included
     */
    public UpstreamRates(
            TrafficLoop loop,
            LongSupplier elapsed,
            RandomGenerator random,
            PeerRates peers,
            IntSupplier knownRouters,
            MetricRegistry metrics) {
        mLoop = loop;
        mElapsed = elapsed;
        mRandom = random;
        mPeers = peers;
        mKnownRouters = knownRouters;
        mMetrics = metrics;
    }

    /**
     * Records the rate announced in an answer. An answer without a rate only ends a limit if its
     * call was sent after the last announcement, since answers on different connections may
     * overtake each other.
     *
     * @param tookMillis time since the call was sent, milliseconds
     */
    public void recordAnnouncement(
            UpstreamEntry upstream,
            AnnouncedRate announced,
            UpstreamPort.Verdict verdict,
            long tookMillis) {
        if (verdict == UpstreamPort.Verdict.FOREIGN
                || verdict == UpstreamPort.Verdict.OTHER_UPSTREAM) {
            return;
        }
        long elapsed = mElapsed.getAsLong();
        UpstreamRate rate = currentRate(upstream.incarnation(), peerReport(upstream.incarnation()));
        if (announced.state() == NoticeState.ANNOUNCED) {
            count(rate, "rate-named");
            mUnreportedChanges |= announced.perSecond() != rate.perSecond();
            rate.update(announced.perSecond(), elapsed, true, mLoop.millis());
        } else if (announced.state() == NoticeState.UNREADABLE) {
            count(rate, "rate-unreadable");
            if (rate.shouldLog(mLoop.millis())) {
                LOGGER.warn(
                        "cannot parse rate announced by upstream id={}", upstream.incarnation());
            }
        } else if (verdict == UpstreamPort.Verdict.SUCCESS
                && rate.isLimited()
                && rate.wasAnnouncedBefore(elapsed - tookMillis)) {
            mUnreportedChanges = true;
            rate.update(LastAnnouncedRate.UNLIMITED, elapsed, true, mLoop.millis());
        }
    }

    /**
     * Admits a request to an upstream and counts it, unless the upstream's rate would be exceeded.
     * More urgent requests come first; within a rank, organisations share max-min fairly at each
     * router.
     */
    public boolean tryAcquire(UpstreamEntry upstream, FlowKey flow) {
        RateReport peers = peerReport(upstream.incarnation());
        UpstreamRate rate = currentRate(upstream.incarnation(), peers);
        long now = mLoop.millis();
        if (rate.isLimited()) {
            rate.recordArrival(flow, now);
            double probability = rate.admissionProbability(flow, peers, this::share, now);
            if (probability < 1 && mRandom.nextDouble() >= probability) {
                recordWithheld(rate, peers, now);
                return false;
            }
            mUnreportedChanges = true;
        }
        rate.recordSent(now);
        return true;
    }

    /** Returns whether a rate applies to an upstream. */
    boolean isLimited(UpstreamEntry upstream) {
        return currentRate(upstream.incarnation(), peerReport(upstream.incarnation())).isLimited();
    }

    /**
     * Refunds a request that was admitted but never reached the upstream.
     *
     * @param at when the request was admitted, milliseconds
     */
    void refund(UpstreamEntry upstream, long at) {
        rateOf(upstream.incarnation()).refund(at, mLoop.millis());
    }

    /**
     * Draws the delay after which a caller should retry that no upstream accepts. Within the
     * longest delay, the upstreams serve as many requests as currently arrive beyond their rates;
     * the caller may be any of those.
     *
     * @param upstreams the upstreams, all at their rates
     * @return the delay, milliseconds
     */
    long retryAfterMillis(List<UpstreamEntry> upstreams) {
        double perSecond = 0;
        double arrived = 0;
        for (UpstreamEntry upstream : upstreams) {
            RateReport peers = peerReport(upstream.incarnation());
            UpstreamRate rate = currentRate(upstream.incarnation(), peers);
            if (rate.isLimited()) {
                RecentUsage use = rate.recentUsage(mLoop.millis()).plus(peers.use());
                perSecond += rate.perSecond();
                arrived = Math.max(arrived, use.asked());
            }
        }
        double ahead =
                Math.max(1, arrived - perSecond * UpstreamRate.PACE_MILLIS / MILLIS_PER_SECOND);
        double seconds = ahead / Math.max(UpstreamRate.MIN_PER_SECOND, perSecond);
        return MIN_RETRY_MILLIS + Math.round(seconds * mRandom.nextDouble() * MILLIS_PER_SECOND);
    }

    private void recordWithheld(UpstreamRate rate, RateReport peers, long now) {
        rate.recordWithheld();
        count(rate, "rate-withheld");
        if (rate.shouldLog(now)) {
            LOGGER.info("call withheld, upstream at its announced rate {}", status(rate, peers));
        }
    }

    private void count(UpstreamRate rate, String metric) {
        mMetrics.counter(METRIC_PREFIX + rate.upstream().id() + "." + metric).inc();
    }

    /** Returns the part of a limit that the routers that reach each other may use. */
    private double share(double limit) {
        double tolerance = UpstreamRate.SETTINGS.tolerance(limit);
        int reachable = mPeers.peerCount() + 1;
        return new LimitShare(limit, tolerance, reachable, mKnownRouters.getAsInt(), 0).allowed();
    }

    /**
     * Returns whether there are changes to report: a changed rate, or a request to an upstream that
     * announces one, which may be over before the calls in flight are next examined.
     */
    public boolean hasUnreportedChanges() {
        return mUnreportedChanges;
    }

    /** Returns the report for the other routers and marks all changes as reported. */
    public Map<UpstreamIncarnation, RateReport> report() {
        long elapsed = mElapsed.getAsLong();
        long now = mLoop.millis();
        mUnreportedChanges = false;
        Map<UpstreamIncarnation, RateReport> reports = new HashMap<>();
        for (UpstreamRate rate : mRates.values()) {
            rate.expire(elapsed, now);
            boolean used = rate.isLimited() && !rate.recentUsage(now).equals(RecentUsage.NONE);
            if (used || rate.isAnnouncedLocally()) {
                reports.put(rate.upstream(), rate.report(elapsed, now));
            }
        }
        return reports;
    }

    /**
     * Returns the state of each upstream that announces a rate.
     *
     * @return the states, sorted by upstream
     */
    public List<Status> statuses() {
        List<Status> statuses = new ArrayList<>();
        for (UpstreamIncarnation upstream : mRates.keySet()) {
            RateReport peers = peerReport(upstream);
            UpstreamRate rate = currentRate(upstream, peers);
            if (rate.isLimited()) {
                statuses.add(status(rate, peers));
            }
        }
        statuses.sort(Comparator.comparing(Status::upstream));
        return statuses;
    }

    private Status status(UpstreamRate rate, RateReport peers) {
        return new Status(
                rate.upstream().toString(),
                rate.perSecond(),
                rate.lastAnnounced(mElapsed.getAsLong()).ageMillis(),
                rate.recentUsage(mLoop.millis()).window(),
                peers.use().window(),
                rate.withheld());
    }

    /**
     * Removes upstreams that are no longer listed, once their rates have expired: an upstream that
     * announces a rate may be listed again after the list was unavailable.
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        long elapsed = mElapsed.getAsLong();
        mRates.values().forEach(rate -> rate.expire(elapsed, mLoop.millis()));
        mRates.values().removeIf(rate -> !rate.isKnown() && !listed.contains(rate.upstream()));
    }

    /**
     * Returns the rate of an upstream, updated with the announcements that other routers received.
     */
    private UpstreamRate currentRate(UpstreamIncarnation upstream, RateReport peers) {
        UpstreamRate rate = rateOf(upstream);
        long elapsed = mElapsed.getAsLong();
        rate.expire(elapsed, mLoop.millis());
        LastAnnouncedRate reported = peers.named();
        boolean expired = reported.ageMillis() >= UpstreamRate.EXPIRY_MILLIS;
        if (!expired && rate.lastAnnounced(elapsed).mostRecent(reported) == reported) {
            long announcedAt = elapsed - reported.ageMillis();
            rate.update(reported.perSecond(), announcedAt, false, mLoop.millis());
        }
        return rate;
    }

    private RateReport peerReport(UpstreamIncarnation upstream) {
        return mPeers.rate(upstream, mElapsed.getAsLong());
    }

    private UpstreamRate rateOf(UpstreamIncarnation upstream) {
        return mRates.computeIfAbsent(upstream, UpstreamRate::new);
    }
}
