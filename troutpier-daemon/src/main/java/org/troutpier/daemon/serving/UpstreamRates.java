package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.decision.EvenTurns;
import org.troutpier.daemon.decision.LimitShare;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.AnnouncedRate;
import org.troutpier.daemon.limit.AskMeter;
import org.troutpier.daemon.limit.Asker;
import org.troutpier.daemon.limit.LoweredLimit;
import org.troutpier.daemon.limit.NamedRate;
import org.troutpier.daemon.limit.OthersRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUse;
import org.troutpier.daemon.limit.SharedRoom;
import org.troutpier.daemon.limit.UseMeter;
import org.troutpier.daemon.limit.UseSettings;

/**
 * Keeps upstreams in need to the rates that they name in their answers, over all routers: each
 * counts what it sends, reports it with its load, and sends what the sum leaves room for. Confined
 * to the traffic loop. Invariants: what this router sends stays, with what it heard of the others,
 * under the {@link LimitShare}; a rate belongs to one start of an upstream; it holds until an
 * answer to a later call names another or none, or until nothing was heard of it for {@link
 * #LAPSE_MILLIS}.
 */
public final class UpstreamRates {

    /** Over which window a rate is kept, and what upstreams bear beyond it. */
    public static final UseSettings SETTINGS = new UseSettings(4, 0.5, 5);

    /**
     * After how long without a word a rate holds no more, milliseconds: long enough that an
     * upstream which takes one request in some seconds has said it again.
     */
    static final long LAPSE_MILLIS = 30_000;

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

    /** How soon a caller that no upstream takes is told to come back, milliseconds. */
    private static final long LEAST_RETURN_MILLIS = 100;

    /**
     * The least rate that upstreams are sent requests at, requests a second: without any, no answer
     * would say that the rate has ended.
     */
    private static final double LEAST_PER_SECOND = 0.1;

    /** How many milliseconds a second has. */
    private static final double MILLIS = 1000;

    /** How often at most a line tells the same of an upstream, milliseconds. */
    private static final long LINE_MILLIS = 10_000;

    /** What the names of an upstream's figures begin with. */
    private static final String FIGURES = "upstream.";

    /** Logs rates that are named, change or end. */
    private static final Logger LOGGER = LogManager.getLogger(UpstreamRates.class);

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** The clock of the control state, which counts suspensions, milliseconds. */
    private final LongSupplier mElapsed;

    /** What the other routers reported. */
    private final OthersRates mOthers;

    /** Draws whether a request is sent that fits only in part. */
    private final RandomGenerator mRandom;

    /** Tells how many routers there may be. */
    private final IntSupplier mKnown;

    /** Counts by upstream. */
    private final MetricRegistry mMetrics;

    /** What is known of each upstream. */
    private final Map<UpstreamIncarnation, Account> mAccounts = new HashMap<>();

    /** One upstream's rate, and what it was sent here. */
    private final class Account {

        /** The upstream. */
        private final UpstreamIncarnation mUpstream;

        /** What it was sent. */
        private final UseMeter mMeter = new UseMeter(SETTINGS.windowMillis());

        /** The rate that holds, requests a second. */
        private double mPerSecond = NamedRate.UNLIMITED;

        /** Who asked for it. */
        private final AskMeter mAsked =
                new AskMeter(Math.round(SETTINGS.windowMillis() * UseSettings.PACE_PART));

        /** What it may be sent in a window; meaningless where no rate holds. */
        private final LoweredLimit mLimit = new LoweredLimit(0, SETTINGS.windowMillis());

        /** How many requests were not sent. */
        private long mWithheld;

        /** Whether anything is known of it. */
        private boolean mNamed;

        /** Whether an answer here said so, which the other routers are to hear. */
        private boolean mHeardHere;

        /** When it was said last, milliseconds on the clock of the control state. */
        private long mSaidAt;

        /** When a line last told of something that may come often, milliseconds. */
        private long mLineAt = Long.MIN_VALUE / 2;

        /**
         * Creates an account of an upstream that names no rate.
         *
         * @param upstream the upstream
         */
        Account(UpstreamIncarnation upstream) {
            mUpstream = upstream;
        }

        /**
         * Returns whether the upstream names a rate.
         *
         * @return whether one holds
         */
        boolean limited() {
            return mPerSecond != NamedRate.UNLIMITED;
        }

        /**
         * Returns what is known of the rate.
         *
         * @return the statement, as old as it is now
         */
        NamedRate named() {
            return mNamed
                    ? new NamedRate(mPerSecond, mElapsed.getAsLong() - mSaidAt)
                    : NamedRate.NEVER;
        }

        /**
         * Takes a statement.
         *
         * @param perSecond the rate
         * @param saidAt when it was said, milliseconds on the clock of the control state
         * @param here whether an answer here said so
         */
        void learn(double perSecond, long saidAt, boolean here) {
            if (perSecond != mPerSecond) {
                LOGGER.info(
                        "upstream rate changed id={} perSecond={} before={} source={}",
                        mUpstream,
                        text(perSecond),
                        text(mPerSecond),
                        here ? "answer" : "router");
            }
            limit(perSecond);
            mPerSecond = perSecond;
            mNamed = true;
            mSaidAt = saidAt;
            mHeardHere = here;
        }

        /**
         * Sets what the upstream may be sent in a window. What it was sent before it named its
         * first rate counts where it may still be at work on it.
         *
         * @param perSecond the rate
         */
        private void limit(double perSecond) {
            if (perSecond == NamedRate.UNLIMITED || perSecond == mPerSecond) {
                return;
            }
            long now = mLoop.millis();
            double limit = Math.max(LEAST_PER_SECOND, perSecond) * SETTINGS.windowSeconds();
            if (limited()) {
                mLimit.set(limit, now);
            } else {
                double beyond = FIRST_TOLERANCE * SETTINGS.tolerance(limit);
                mLimit.set(limit, limit + beyond, now);
                mMeter.keepNewest(KEPT_PART, now);
            }
        }

        /**
         * Returns how much more the upstream may be sent.
         *
         * @return the room, requests
         */
        SharedRoom room() {
            long now = mLoop.millis();
            double paced = mLimit.inForce() * UseSettings.PACE_PART * PACE_FACTOR + PACE_REQUESTS;
            return new SharedRoom(
                    mMeter.recent(now),
                    reported(this).use(),
                    share(mLimit.at(now)),
                    share(paced),
                    SETTINGS.windowMillis() * UseSettings.PACE_PART);
        }

        /** Forgets a statement of which nothing was heard for long. */
        void lapse() {
            if (mNamed && mElapsed.getAsLong() - mSaidAt >= LAPSE_MILLIS) {
                learn(NamedRate.UNLIMITED, mSaidAt, false);
                mNamed = false;
            }
        }

        /**
         * Returns whether a line may tell of something that may come often.
         *
         * @return whether none did lately; one does from now on
         */
        boolean lineDue() {
            long now = mLoop.millis();
            boolean due = now - mLineAt >= LINE_MILLIS;
            mLineAt = due ? now : mLineAt;
            return due;
        }

        /**
         * Counts for the upstream.
         *
         * @param what what is counted
         */
        void count(String what) {
            mMetrics.counter(FIGURES + mUpstream.id() + "." + what).inc();
        }
    }

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
    public record Standing(
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
            OthersRates others,
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
     * @param rate what it says
     * @param verdict what its head proves
     * @param tookMillis how long ago the call was sent, milliseconds
     */
    public void heard(
            UpstreamEntry upstream,
            AnnouncedRate rate,
            UpstreamPort.Verdict verdict,
            long tookMillis) {
        boolean own =
                verdict != UpstreamPort.Verdict.FOREIGN
                        && verdict != UpstreamPort.Verdict.OTHER_UPSTREAM;
        if (!own) {
            return;
        }
        long now = mElapsed.getAsLong();
        Account account = updated(upstream.incarnation());
        if (rate.kind() == AnnouncedRate.Kind.NAMED) {
            account.count("rate-named");
            account.learn(rate.perSecond(), now, true);
        } else if (rate.kind() == AnnouncedRate.Kind.UNREADABLE) {
            account.count("rate-unreadable");
            if (account.lineDue()) {
                LOGGER.warn("upstream rate not readable id={}", upstream.incarnation());
            }
        } else if (verdict == UpstreamPort.Verdict.SUCCESS
                && account.limited()
                && now - tookMillis > account.mSaidAt) {
            account.learn(NamedRate.UNLIMITED, now, true);
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
    public boolean tryTake(UpstreamEntry upstream, Asker asker) {
        Account account = updated(upstream.incarnation());
        long now = mLoop.millis();
        if (account.limited()) {
            account.mMeter.asked(1, now);
            account.mAsked.asked(asker, now);
            SharedRoom room = account.room();
            double chance = chance(account, room, asker, now);
            if (chance < 1 && mRandom.nextDouble() >= chance) {
                withhold(account, room);
                return false;
            }
        }
        account.mMeter.used(1, now);
        return true;
    }

    /**
     * Returns with what chance a request is admitted.
     *
     * @param account the upstream's account
     * @param room how much more it may be sent
     * @param asker who asks
     * @param now the monotonic clock, milliseconds
     * @return the chance; 0 or less for none, 1 or more for certain
     */
    private double chance(Account account, SharedRoom room, Asker asker, long now) {
        List<Long> here = account.mAsked.byRank(now);
        List<Long> elsewhere = reported(account).asked();
        double ahead = 0;
        for (int rank = 0; rank < asker.rank(); rank++) {
            ahead += asked(here, rank) + asked(elsewhere, rank);
        }
        double own = asked(here, asker.rank()) + asked(elsewhere, asker.rank());
        double chance = room.chance(1, ahead, own);
        return chance <= 0 || chance >= 1
                ? chance
                : new EvenTurns<>(account.mAsked.byOrganisation(asker.rank(), now), chance)
                        .of(asker.organisation());
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
     * Admits a request to the first of several upstreams that may be sent it.
     *
     * @param upstreams the upstreams, the best first
     * @param asker who asks
     * @return the upstream; empty where all are at their rates
     */
    Optional<UpstreamEntry> takeFirst(List<UpstreamEntry> upstreams, Asker asker) {
        return upstreams.stream().filter(each -> tryTake(each, asker)).findFirst();
    }

    /**
     * Gives back a request that was admitted and never reached the upstream.
     *
     * @param upstream where it was to be sent
     * @param at when it was admitted, milliseconds
     */
    void giveBack(UpstreamEntry upstream, long at) {
        account(upstream.incarnation()).mMeter.takeBack(1, at, mLoop.millis());
    }

    /**
     * Predicts when one of several upstreams that are at their rates takes a request, where those
     * that were withheld lately come back too.
     *
     * @param upstreams the upstreams
     * @return milliseconds from now
     */
    long returnMillis(List<UpstreamEntry> upstreams) {
        double perSecond = 0;
        double asked = 0;
        for (UpstreamEntry upstream : upstreams) {
            Account account = updated(upstream.incarnation());
            if (account.limited()) {
                SharedRoom room = account.room();
                perSecond += account.mPerSecond;
                asked = Math.max(asked, room.here().asked() + (double) room.elsewhere().asked());
            }
        }
        double ahead = Math.max(1, asked - perSecond * SETTINGS.paceSeconds());
        double seconds = ahead / Math.max(LEAST_PER_SECOND, perSecond);
        return LEAST_RETURN_MILLIS + Math.round(seconds * mRandom.nextDouble() * MILLIS);
    }

    /**
     * Counts a request that is not sent.
     *
     * @param account the upstream's account
     * @param room how much more it may be sent
     */
    private void withhold(Account account, SharedRoom room) {
        account.mWithheld++;
        account.count("rate-withheld");
        if (account.lineDue()) {
            LOGGER.info(
                    "upstream at its rate id={} perSecond={} here={} elsewhere={} withheld={}",
                    account.mUpstream,
                    text(account.mPerSecond),
                    room.here().window(),
                    room.elsewhere().window(),
                    account.mWithheld);
        }
    }

    /**
     * Returns how much of a limit the routers that hear each other may use.
     *
     * @param limit the limit
     * @return the share
     */
    private double share(double limit) {
        int heard = mOthers.routers() + 1;
        int known = Math.max(heard, mKnown.getAsInt());
        return new LimitShare(limit, SETTINGS.tolerance(limit), heard, known, 0).most();
    }

    /**
     * Returns what is to be reported to the others.
     *
     * @return the upstreams that name a rate, or named one lately
     */
    public Map<UpstreamIncarnation, RateReport> report() {
        long now = mLoop.millis();
        Map<UpstreamIncarnation, RateReport> reports = new HashMap<>();
        for (Account account : mAccounts.values()) {
            account.lapse();
            RecentUse use = account.mMeter.recent(now);
            boolean used = account.limited() && !use.equals(RecentUse.NONE);
            if (account.mNamed && account.mHeardHere || used) {
                NamedRate named = account.mHeardHere ? account.named() : NamedRate.NEVER;
                reports.put(
                        account.mUpstream, new RateReport(named, use, account.mAsked.byRank(now)));
            }
        }
        return reports;
    }

    /**
     * Returns what is known of each upstream that names a rate.
     *
     * @return the upstreams, by name
     */
    public List<Standing> standings() {
        return List.copyOf(mAccounts.keySet()).stream()
                .map(this::updated)
                .filter(Account::limited)
                .map(this::standing)
                .sorted((one, other) -> one.upstream().compareTo(other.upstream()))
                .toList();
    }

    /**
     * Returns what is known of one upstream.
     *
     * @param account its account
     * @return what operators see
     */
    private Standing standing(Account account) {
        return new Standing(
                account.mUpstream.toString(),
                account.mPerSecond,
                account.named().ageMillis(),
                account.mMeter.recent(mLoop.millis()).window(),
                reported(account).use().window(),
                account.mWithheld);
    }

    /**
     * Forgets upstreams that are no longer listed and name no rate. One that does may be listed
     * again, where the list was away.
     *
     * @param listed the ids that are listed
     */
    public void retain(Set<UpstreamIncarnation> listed) {
        mAccounts.values().forEach(Account::lapse);
        mAccounts
                .values()
                .removeIf(account -> !account.mNamed && !listed.contains(account.mUpstream));
    }

    /**
     * Returns an upstream's account with what the other routers learnt.
     *
     * @param upstream the upstream
     * @return its account
     */
    private Account updated(UpstreamIncarnation upstream) {
        Account account = account(upstream);
        account.lapse();
        NamedRate told = reported(account).named();
        if (told.ageMillis() < LAPSE_MILLIS && account.named().latest(told) == told) {
            account.learn(told.perSecond(), mElapsed.getAsLong() - told.ageMillis(), false);
        }
        return account;
    }

    /**
     * Returns what the other routers reported of an upstream.
     *
     * @param account its account
     * @return the report
     */
    private RateReport reported(Account account) {
        return mOthers.rate(account.mUpstream, mElapsed.getAsLong());
    }

    /**
     * Returns an upstream's account.
     *
     * @param upstream the upstream
     * @return its account
     */
    private Account account(UpstreamIncarnation upstream) {
        return mAccounts.computeIfAbsent(upstream, Account::new);
    }

    /**
     * Returns a rate as lines tell it.
     *
     * @param perSecond the rate
     * @return the text
     */
    private static String text(double perSecond) {
        return perSecond == NamedRate.UNLIMITED ? "none" : Double.toString(perSecond);
    }
}
