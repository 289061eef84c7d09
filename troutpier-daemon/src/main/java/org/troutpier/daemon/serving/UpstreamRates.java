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
 * Keeps upstreams in need to the rates that they name in their answers, over all routers: each
 * counts what it sends, reports it with its load, and sends what the sum leaves room for. Confined
 * to the traffic loop. Invariants: what this router sends stays, with what it heard of the others,
 * under the {@link LimitShare}; a rate belongs to one start of an upstream; it holds until an
 * answer to a later call names another or none, or until nothing was heard of it for {@link
 * UpstreamRate#LAPSE_MILLIS}.
 */
public final class UpstreamRates {

    /** Where operators list the upstreams that name rates. */
    public static final String PATH = "/rates";

    /** How soon a caller that no upstream takes is told to come back, milliseconds. */
    private static final long LEAST_RETURN_MILLIS = 100;

    /** How many milliseconds a second has. */
    private static final double MILLIS = 1000;

    /** What the names of an upstream's figures begin with. */
    private static final String FIGURES = "upstream.";

    /** Logs requests that are not sent. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamRates.class);

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** The clock of the control state, which counts suspensions, milliseconds. */
    private final LongSupplier mElapsed;

    /** What the other routers reported. */
    private final PeerRates mOthers;

    /** Draws whether a request is sent that fits only in part. */
    private final RandomGenerator mRandom;

    /** Tells how many routers there may be. */
    private final IntSupplier mKnown;

    /** Counts by upstream. */
    private final MetricRegistry mMetrics;

    /** What is known of each upstream. */
    private final Map<UpstreamIncarnation, UpstreamRate> mRates = new HashMap<>();

    /** Whether there is something that the other routers have not been told. */
    private boolean mUnreported;

    /**
     * What is known of one upstream that names a rate, as operators see it. Immutable and thread
     * safe.
     *
     * @param upstream the upstream
     * @param perSecond the rate, requests a second
     * @param ageMillis how long ago it was named last, milliseconds
     * @param here what it was sent here in the window
     * @param elsewhere what it was sent by the other routers
     * @param withheld how many requests were not sent to it since it first named a rate
     */
    public record Status(
            String upstream,
            double perSecond,
            long ageMillis,
            long here,
            long elsewhere,
            long withheld) {}

    /**
     * Creates a view in which no upstream names a rate.
     *
     * @param loop the traffic loop
     * @param elapsed the clock of the control state, milliseconds
     * @param random draws whether a request is sent that fits only in part
     * @param others what the other routers reported
     * @param known tells how many routers there may be, this one included
     * @param metrics counts by upstream
     */
    public UpstreamRates(
            TrafficLoop loop,
            LongSupplier elapsed,
            RandomGenerator random,
            PeerRates others,
            IntSupplier known,
            MetricRegistry metrics) {
        mLoop = loop;
        mElapsed = elapsed;
        mRandom = random;
        mOthers = others;
        mKnown = known;
        mMetrics = metrics;
    }

    /**
     * Takes what an answer says. That an answer names no rate ends one only if its call was sent
     * after the rate was last named: answers on different connections overtake each other.
     *
     * @param upstream whose answer it is
     * @param announced what it says
     * @param verdict what its head proves
     * @param tookMillis how long ago the call was sent, milliseconds
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
        UpstreamRate rate = updated(upstream.incarnation(), reported(upstream.incarnation()));
        if (announced.state() == NoticeState.ANNOUNCED) {
            count(rate, "rate-named");
            mUnreported |= announced.perSecond() != rate.perSecond();
            rate.learn(announced.perSecond(), elapsed, true, mLoop.millis());
        } else if (announced.state() == NoticeState.UNREADABLE) {
            count(rate, "rate-unreadable");
            if (rate.lineDue(mLoop.millis())) {
                LOGGER.warn("upstream rate not readable id={}", upstream.incarnation());
            }
        } else if (verdict == UpstreamPort.Verdict.SUCCESS
                && rate.limited()
                && rate.namedBefore(elapsed - tookMillis)) {
            mUnreported = true;
            rate.learn(LastAnnouncedRate.UNLIMITED, elapsed, true, mLoop.millis());
        }
    }

    /**
     * Admits a request to an upstream and counts it, unless that would pass the upstream's rate.
     * The more urgent goes first; within a rank, organisations take even turns at each router.
     *
     * @param upstream where it is to be sent
     * @param asker who asks
     * @return whether it may be sent
     */
    public boolean tryAcquire(UpstreamEntry upstream, FlowKey asker) {
        RateReport others = reported(upstream.incarnation());
        UpstreamRate rate = updated(upstream.incarnation(), others);
        long now = mLoop.millis();
        if (rate.limited()) {
            rate.asked(asker, now);
            double chance = rate.chance(asker, others, this::share, now);
            if (chance < 1 && mRandom.nextDouble() >= chance) {
                withhold(rate, others, now);
                return false;
            }
            mUnreported = true;
        }
        rate.sent(now);
        return true;
    }

    /**
     * Returns whether an upstream names a rate.
     *
     * @param upstream the upstream
     * @return whether one is known that holds
     */
    boolean isLimited(UpstreamEntry upstream) {
        return updated(upstream.incarnation(), reported(upstream.incarnation())).limited();
    }

    /**
     * Gives back a request that was admitted and never reached the upstream.
     *
     * @param upstream where it was to be sent
     * @param at when it was admitted, milliseconds
     */
    void refund(UpstreamEntry upstream, long at) {
        rate(upstream.incarnation()).takeBack(at, mLoop.millis());
    }

    /**
     * Draws when a caller should come back that no upstream takes: by then the upstreams have taken
     * as many as ask beyond their rates, of which it is any.
     *
     * @param upstreams the upstreams, all at their rates
     * @return milliseconds from now
     */
    long retryAfterMillis(List<UpstreamEntry> upstreams) {
        double perSecond = 0;
        double asked = 0;
        for (UpstreamEntry upstream : upstreams) {
            RateReport others = reported(upstream.incarnation());
            UpstreamRate rate = updated(upstream.incarnation(), others);
            if (rate.limited()) {
                RecentUsage use = rate.recent(mLoop.millis()).plus(others.use());
                perSecond += rate.perSecond();
                asked = Math.max(asked, use.asked());
            }
        }
        double ahead = Math.max(1, asked - perSecond * UpstreamRate.PACE_MILLIS / MILLIS);
        double seconds = ahead / Math.max(UpstreamRate.LEAST_PER_SECOND, perSecond);
        return LEAST_RETURN_MILLIS + Math.round(seconds * mRandom.nextDouble() * MILLIS);
    }

    /**
     * Counts a request that is not sent.
     *
     * @param rate the upstream's rate
     * @param others what the other routers reported of it
     * @param now the traffic loop's clock, milliseconds
     */
    private void withhold(UpstreamRate rate, RateReport others, long now) {
        rate.withhold();
        count(rate, "rate-withheld");
        if (rate.lineDue(now)) {
            LOGGER.info("upstream at its rate {}", standing(rate, others));
        }
    }

    /**
     * Counts for an upstream.
     *
     * @param rate the upstream's rate
     * @param what what is counted
     */
    private void count(UpstreamRate rate, String what) {
        mMetrics.counter(FIGURES + rate.upstream().id() + "." + what).inc();
    }

    /**
     * Returns how much of a limit the routers that hear each other may use.
     *
     * @param limit the limit
     * @return the share
     */
    private double share(double limit) {
        double tolerance = UpstreamRate.SETTINGS.tolerance(limit);
        int heard = mOthers.peerCount() + 1;
        return new LimitShare(limit, tolerance, heard, mKnown.getAsInt(), 0).allowed();
    }

    /**
     * Returns whether there is something that was not reported yet: a rate that changed, or a
     * request to an upstream that names one, which may be over before it is looked what is under
     * way.
     *
     * @return whether the others should hear of it
     */
    public boolean hasUnreportedChanges() {
        return mUnreported;
    }

    /**
     * Returns what is to be reported to the others.
     *
     * @return the upstreams that name a rate, or named one lately
     */
    public Map<UpstreamIncarnation, RateReport> report() {
        long elapsed = mElapsed.getAsLong();
        long now = mLoop.millis();
        mUnreported = false;
        Map<UpstreamIncarnation, RateReport> reports = new HashMap<>();
        for (UpstreamRate rate : mRates.values()) {
            rate.lapse(elapsed, now);
            boolean used = rate.limited() && !rate.recent(now).equals(RecentUsage.NONE);
            if (used || rate.heardHere()) {
                reports.put(rate.upstream(), rate.report(elapsed, now));
            }
        }
        return reports;
    }

    /**
     * Returns what is known of each upstream that names a rate.
     *
     * @return the upstreams, by name
     */
    public List<Status> statuses() {
        List<Status> standings = new ArrayList<>();
        for (UpstreamIncarnation upstream : mRates.keySet()) {
            RateReport others = reported(upstream);
            UpstreamRate rate = updated(upstream, others);
            if (rate.limited()) {
                standings.add(standing(rate, others));
            }
        }
        standings.sort(Comparator.comparing(Status::upstream));
        return standings;
    }

    /**
     * Returns what is known of one upstream.
     *
     * @param rate its rate
     * @param others what the other routers reported of it
     * @return what operators see
     */
    private Status standing(UpstreamRate rate, RateReport others) {
        return new Status(
                rate.upstream().toString(),
                rate.perSecond(),
                rate.named(mElapsed.getAsLong()).ageMillis(),
                rate.recent(mLoop.millis()).window(),
                others.use().window(),
                rate.withheld());
    }

    /**
     * Forgets upstreams that are no longer listed and of whose rates nothing is known. One that
     * names a rate may be listed again, where the list was away.
     *
     * @param listed the ids that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        long elapsed = mElapsed.getAsLong();
        mRates.values().forEach(rate -> rate.lapse(elapsed, mLoop.millis()));
        mRates.values().removeIf(rate -> !rate.known() && !listed.contains(rate.upstream()));
    }

    /**
     * Returns an upstream's rate with what the other routers learnt.
     *
     * @param upstream the upstream
     * @param others what they reported of it
     * @return its rate
     */
    private UpstreamRate updated(UpstreamIncarnation upstream, RateReport others) {
        UpstreamRate rate = rate(upstream);
        long elapsed = mElapsed.getAsLong();
        rate.lapse(elapsed, mLoop.millis());
        LastAnnouncedRate reported = others.named();
        boolean lapsed = reported.ageMillis() >= UpstreamRate.LAPSE_MILLIS;
        if (!lapsed && rate.named(elapsed).mostRecent(reported) == reported) {
            long saidAt = elapsed - reported.ageMillis();
            rate.learn(reported.perSecond(), saidAt, false, mLoop.millis());
        }
        return rate;
    }

    /**
     * Returns what the other routers reported of an upstream.
     *
     * @param upstream the upstream
     * @return the report
     */
    private RateReport reported(UpstreamIncarnation upstream) {
        return mOthers.rate(upstream, mElapsed.getAsLong());
    }

    /**
     * Returns an upstream's rate.
     *
     * @param upstream the upstream
     * @return its rate, made where there is none
     */
    private UpstreamRate rate(UpstreamIncarnation upstream) {
        return mRates.computeIfAbsent(upstream, UpstreamRate::new);
    }
}
