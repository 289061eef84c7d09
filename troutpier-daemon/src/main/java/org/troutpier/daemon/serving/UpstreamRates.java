package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.AnnouncedRate;
import org.troutpier.daemon.limit.NamedRate;
import org.troutpier.daemon.limit.OthersRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUse;
import org.troutpier.daemon.limit.UseMeter;
import org.troutpier.daemon.limit.UseSettings;

/**
 * The rates that upstreams in need name in their answers, and what they were sent lately. Confined
 * to the traffic loop. Invariants: a rate belongs to one start of an upstream; it holds until an
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

        /** Whether it was ever named. */
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
            mPerSecond = perSecond;
            mNamed = true;
            mSaidAt = saidAt;
            mHeardHere = here;
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
     */
    public record Standing(
            String upstream, double perSecond, long ageMillis, long here, long elsewhere) {}

    /**
     * Creates a view in which no upstream names a rate.
     *
     * @param loop the traffic loop
     * @param elapsed the clock of the control state, milliseconds
     * @param others what the other routers reported
     * @param metrics counts by upstream
     */
    public UpstreamRates(
            TrafficLoop loop, LongSupplier elapsed, OthersRates others, MetricRegistry metrics) {
        mLoop = loop;
        mElapsed = elapsed;
        mOthers = others;
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
        switch (rate.kind()) {
            case NAMED -> {
                account.count("rate-named");
                account.learn(rate.perSecond(), now, true);
            }
            case UNREADABLE -> {
                account.count("rate-unreadable");
                if (account.lineDue()) {
                    LOGGER.warn("upstream rate not readable id={}", upstream.incarnation());
                }
            }
            case NONE -> {
                boolean served = verdict == UpstreamPort.Verdict.SUCCESS;
                if (served && account.limited() && now - tookMillis > account.mSaidAt) {
                    account.learn(NamedRate.UNLIMITED, now, true);
                }
            }
        }
    }

    /**
     * Records that a request is sent.
     *
     * @param upstream where to
     */
    void sent(UpstreamEntry upstream) {
        account(upstream.incarnation()).mMeter.used(1, mLoop.millis());
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
                reports.put(account.mUpstream, new RateReport(named, use));
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
                reported(account).use().window());
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
