package org.troutpier.daemon.serving;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.logging.LinePause;
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
 * The rate that one start of an upstream names, and what it was sent here. Confined to the traffic
 * loop. Invariant: where nothing is known of the rate, none holds.
 */
final class UpstreamRate {

    /** Over which window a rate is kept, and what upstreams bear beyond it. */
    static final UsageSettings SETTINGS = new UsageSettings(4, 0.5, 5);

    /** How long the newest part of the window is over which a rate is paced, milliseconds. */
    static final double PACE_MILLIS = SETTINGS.windowMillis() * UsageSettings.PACE_FRACTION;

    /**
     * After how long without a word a rate holds no more, milliseconds: long enough that an
     * upstream which takes one request in some seconds has said it again.
     */
    static final long LAPSE_MILLIS = 30_000;

    /**
     * The least rate that upstreams are sent requests at, requests a second: without any, no answer
     * would say that the rate has ended.
     */
    static final double LEAST_PER_SECOND = 0.1;

    /**
     * Which part of what upstreams bear beyond their rate may be used in the first window, by calls
     * that were sent before the rate was known.
     */
    private static final double FIRST_TOLERANCE = 0.5;

    /**
     * Which part of the window's calls counts that were sent before the rate was known: the time
     * before it was named that still lies in a window once the rate binds, and the time until it
     * was known here.
     */
    private static final double KEPT_PART = 0.375;

    /**
     * By which factor the rate may be passed in the window's newest part. The window alone keeps
     * the rate; evenly paced, a part of it would be lost whenever callers pause.
     */
    private static final double PACE_FACTOR = 1.25;

    /** What may be sent beyond that: a rate below one request in that part is sent whole ones. */
    private static final double PACE_REQUESTS = 1;

    /** How often at most a line tells of a changed rate, milliseconds. */
    private static final long CHANGE_LINE_MILLIS = 1000;

    /** How often at most a line tells the same of an upstream, milliseconds. */
    private static final long LINE_MILLIS = 10_000;

    /** Logs rates that are named, change or end. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamRate.class);

    /** The upstream. */
    private final UpstreamIncarnation mUpstream;

    /** What it was sent. */
    private final UsageMeter mMeter = new UsageMeter(SETTINGS.windowMillis());

    /** Who asked for it. */
    private final ArrivalMeter mAsked = new ArrivalMeter(Math.round(PACE_MILLIS));

    /** What it may be sent in a window; meaningless where no rate holds. */
    private final GradualLimit mLimit = new GradualLimit(0, SETTINGS.windowMillis());

    /** The rate that holds, requests a second. */
    private double mPerSecond = LastAnnouncedRate.UNLIMITED;

    /** How many requests were not sent. */
    private long mWithheld;

    /** Whether anything is known of it. */
    private boolean mKnown;

    /** Whether an answer here said so, which the other routers are to hear. */
    private boolean mHeardHere;

    /** When it was said last, milliseconds on the clock of the control state. */
    private long mSaidAt;

    /** Keeps lines of changed rates apart. */
    private final LinePause mChangeLines = new LinePause(CHANGE_LINE_MILLIS);

    /** Keeps other lines apart. */
    private final LinePause mLines = new LinePause(LINE_MILLIS);

    /**
     * Creates an upstream that names no rate.
     *
     * @param upstream the upstream
     */
    UpstreamRate(UpstreamIncarnation upstream) {
        mUpstream = upstream;
    }

    /**
     * Returns the upstream.
     *
     * @return its start
     */
    UpstreamIncarnation upstream() {
        return mUpstream;
    }

    /**
     * Returns the rate that holds.
     *
     * @return requests a second, or {@link LastAnnouncedRate#UNLIMITED}
     */
    double perSecond() {
        return mPerSecond;
    }

    /**
     * Returns whether the upstream names a rate.
     *
     * @return whether one holds
     */
    boolean limited() {
        return mPerSecond != LastAnnouncedRate.UNLIMITED;
    }

    /**
     * Returns whether anything is known of the rate, be it that it has ended.
     *
     * @return whether it is
     */
    boolean known() {
        return mKnown;
    }

    /**
     * Returns whether an answer here said what is known.
     *
     * @return whether the other routers are to hear of it from this one
     */
    boolean heardHere() {
        return mKnown && mHeardHere;
    }

    /**
     * Returns what is known of the rate.
     *
     * @param elapsed the clock of the control state, milliseconds
     * @return the statement, as old as it is now
     */
    LastAnnouncedRate named(long elapsed) {
        return mKnown
                ? new LastAnnouncedRate(mPerSecond, elapsed - mSaidAt)
                : LastAnnouncedRate.NEVER;
    }

    /**
     * Returns whether a call was sent after the rate was last named.
     *
     * @param sentAt when it was sent, milliseconds on the clock of the control state
     * @return whether its answer may end the rate
     */
    boolean namedBefore(long sentAt) {
        return sentAt > mSaidAt;
    }

    /**
     * Takes a statement.
     *
     * @param perSecond the rate
     * @param saidAt when it was said, milliseconds on the clock of the control state
     * @param here whether an answer here said so
     * @param now the traffic loop's clock, milliseconds
     */
    void learn(double perSecond, long saidAt, boolean here, long now) {
        if (perSecond != mPerSecond) {
            changed(perSecond, here ? "answer" : "router", now);
        }
        mPerSecond = perSecond;
        mKnown = true;
        mSaidAt = saidAt;
        mHeardHere = here;
    }

    /**
     * Forgets a statement of which nothing was heard for long.
     *
     * @param elapsed the clock of the control state, milliseconds
     * @param now the traffic loop's clock, milliseconds
     */
    void lapse(long elapsed, long now) {
        if (mKnown && elapsed - mSaidAt >= LAPSE_MILLIS) {
            if (limited()) {
                changed(LastAnnouncedRate.UNLIMITED, "silence", now);
            }
            mPerSecond = LastAnnouncedRate.UNLIMITED;
            mKnown = false;
        }
    }

    /**
     * Sets what the upstream may be sent in a window. What it was sent before it named its first
     * rate counts where it may still be at work on it.
     *
     * @param perSecond the rate
     * @param source who said so, for the log
     * @param now the traffic loop's clock, milliseconds
     */
    private void changed(double perSecond, String source, long now) {
        if (mChangeLines.over(now)) {
            LOGGER.info(
                    "upstream rate changed id={} perSecond={} before={} source={}",
                    mUpstream,
                    text(perSecond),
                    text(mPerSecond),
                    source);
        }
        if (perSecond == LastAnnouncedRate.UNLIMITED) {
            return;
        }
        double limit = Math.max(LEAST_PER_SECOND, perSecond) * SETTINGS.windowSeconds();
        if (limited()) {
            mLimit.set(limit, now);
        } else {
            mLimit.set(limit, limit + FIRST_TOLERANCE * SETTINGS.tolerance(limit), now);
            mMeter.discardOlder(KEPT_PART, now);
        }
    }

    /**
     * Records that a request is asked for, sent or not.
     *
     * @param asker who asks
     * @param now the traffic loop's clock, milliseconds
     */
    void asked(FlowKey asker, long now) {
        mMeter.recordRequested(1, now);
        mAsked.record(asker, now);
    }

    /**
     * Records that a request is sent.
     *
     * @param now the traffic loop's clock, milliseconds
     */
    void sent(long now) {
        mMeter.recordUsed(1, now);
    }

    /** Records that a request is not sent. */
    void withhold() {
        mWithheld++;
    }

    /**
     * Returns how many requests were not sent.
     *
     * @return the count since the rate was first named
     */
    long withheld() {
        return mWithheld;
    }

    /**
     * Takes back that a request was sent.
     *
     * @param at when that was recorded, milliseconds
     * @param now the traffic loop's clock, milliseconds
     */
    void takeBack(long at, long now) {
        mMeter.subtract(1, at, now);
    }

    /**
     * Returns what was sent and asked here lately.
     *
     * @param now the traffic loop's clock, milliseconds
     * @return the use
     */
    RecentUsage recent(long now) {
        return mMeter.recent(now);
    }

    /**
     * Returns what is to be reported to the others.
     *
     * @param elapsed the clock of the control state, milliseconds
     * @param now the traffic loop's clock, milliseconds
     * @return the report
     */
    RateReport report(long elapsed, long now) {
        LastAnnouncedRate named = heardHere() ? named(elapsed) : LastAnnouncedRate.NEVER;
        return new RateReport(named, recent(now), mAsked.byRank(now));
    }

    /**
     * Returns with what chance a request is sent.
     *
     * @param asker who asks
     * @param others what the other routers reported
     * @param share returns how much of a limit the routers that hear each other may use
     * @param now the traffic loop's clock, milliseconds
     * @return the chance; 0 or less for none, 1 or more for certain
     */
    double chance(FlowKey asker, RateReport others, DoubleUnaryOperator share, long now) {
        List<Long> here = mAsked.byRank(now);
        double ahead = 0;
        for (int rank = 0; rank < asker.rank(); rank++) {
            ahead += asked(here, rank) + asked(others.asked(), rank);
        }
        double own = asked(here, asker.rank()) + asked(others.asked(), asker.rank());
        double chance = room(others, share, now).admissionProbability(1, ahead, own);
        return chance <= 0 || chance >= 1
                ? chance
                : new MaxMinFairness<>(mAsked.byOrganisation(asker.rank(), now), chance)
                        .probabilityFor(asker.organisation());
    }

    /**
     * Returns how much more the upstream may be sent.
     *
     * @param others what the other routers reported
     * @param share returns how much of a limit the routers that hear each other may use
     * @param now the traffic loop's clock, milliseconds
     * @return the room, requests
     */
    private LimitHeadroom room(RateReport others, DoubleUnaryOperator share, long now) {
        double paced = mLimit.target() * UsageSettings.PACE_FRACTION * PACE_FACTOR + PACE_REQUESTS;
        return new LimitHeadroom(
                recent(now),
                others.use(),
                share.applyAsDouble(mLimit.current(now)),
                share.applyAsDouble(paced),
                PACE_MILLIS);
    }

    /**
     * Returns what was asked of one rank.
     *
     * @param asked what was asked by rank
     * @param rank the rank
     * @return requests
     */
    private static double asked(List<Long> asked, int rank) {
        return rank < asked.size() ? asked.get(rank) : 0;
    }

    /**
     * Returns whether a line may tell of something that may come often.
     *
     * @param now the traffic loop's clock, milliseconds
     * @return whether none did lately; one does from now on
     */
    boolean lineDue(long now) {
        return mLines.over(now);
    }

    /**
     * Returns a rate as lines tell it.
     *
     * @param perSecond the rate
     * @return the text
     */
    private static String text(double perSecond) {
        return perSecond == LastAnnouncedRate.UNLIMITED ? "none" : Double.toString(perSecond);
    }
}
