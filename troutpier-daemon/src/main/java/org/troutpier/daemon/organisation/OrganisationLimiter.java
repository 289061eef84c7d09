package org.troutpier.daemon.organisation;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.logging.LinePause;
import org.troutpier.daemon.decision.LimitShare;
import org.troutpier.daemon.limit.GradualLimit;
import org.troutpier.daemon.limit.LimitHeadroom;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.limit.UsageMeter;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.UsageLimit;

/**
 * Keeps organisations to their limits over all routers: each counts what it admits and reports it
 * with its load, and admits what the sum leaves room for. Confined to the traffic loop. Invariant:
 * what this router admits stays, with what it heard of the others, under the {@link LimitShare}.
 *
 * <p>It answers limits that hold a few requests for each router in a window: a fixed part of such a
 * limit is less than one request, and rejects nearly all that the whole would admit.
 */
public final class OrganisationLimiter {

    /** Where operators list the organisations. */
    public static final String PATH = "/organisations";

    /** How soon a caller beyond a limit is told to come back at the earliest, milliseconds. */
    private static final long LEAST_RETURN_MILLIS = 250;

    /**
     * How many bursts are not admitted soon after a start: that of the limit, and what may have
     * been admitted beyond it before while views of the others were stale.
     */
    private static final double FORGOTTEN_BURSTS = 1.25;

    /**
     * Which part of the window's end admits the burst again after a start: the last quarter, when
     * most of what was used before has left the window.
     */
    private static final double BURST_PARTS = 4;

    /** How often at most a line tells that an organisation is refused, milliseconds. */
    private static final long LINE_MILLIS = 10_000;

    /** What the names of an organisation's figures begin with. */
    private static final String FIGURES = "organisation.";

    /** Logs refusals and changed limits. */
    private static final Logger LOGGER = LogManager.getLogger(OrganisationLimiter.class);

    /** How strictly limits are kept. */
    private final UsageSettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** Draws whether a request is admitted that fits only in part. */
    private final RandomGenerator mRandom;

    /** What the other routers used. */
    private final PeerUsage mOthers;

    /** Tells how many routers there may be. */
    private final IntSupplier mKnown;

    /** Counts by organisation. */
    private final MetricRegistry mMetrics;

    /** When this router began to count, milliseconds. */
    private final long mStartedAt;

    /** The accounts of the organisations in force. */
    private final Map<PartnerId, Account> mAccounts = new HashMap<>();

    /** The version that the accounts are of. */
    private long mVersion = -1;

    /** Whether fewer than all routers are heard, as it was reported last. */
    private boolean mPartToldOf;

    /**
     * Why a request is not admitted. Immutable and thread safe.
     *
     * @param detail what it was decided by
     * @param returnMillis when there will be room, milliseconds from now
     */
    public record Refusal(String detail, long returnMillis) {}

    /**
     * What is known of one organisation, as operators see it. Immutable and thread safe.
     *
     * @param organisation its name
     * @param unit what its use is counted in
     * @param limit what it may use in a window over all routers; 0 for no limit
     * @param most what the routers that hear each other admit of that now
     * @param here what it used here in the window
     * @param elsewhere what it used at the others
     * @param refused how many requests were refused here since the start
     * @param keys the fingerprints of its keys
     */
    public record Status(
            String organisation,
            String unit,
            long limit,
            long most,
            long here,
            long elsewhere,
            long refused,
            List<String> keys) {}

    /** One organisation's use at this router, and its limit over time. */
    private static final class Account {

        /** What it used and asked here. */
        private final UsageMeter mMeter;

        /** What it may use in a window. */
        private final GradualLimit mLimit;

        /** The organisation as the version in force has it. */
        private Organisation mOrganisation;

        /** How many requests were refused. */
        private long mRefused;

        /** Keeps lines of refusals apart. */
        private final LinePause mLines = new LinePause(LINE_MILLIS);

        /**
         * Creates an account.
         *
         * @param limit what the organisation may use in a window
         * @param windowMillis how long the window is, milliseconds
         */
        Account(double limit, long windowMillis) {
            mMeter = new UsageMeter(windowMillis);
            mLimit = new GradualLimit(limit, windowMillis);
        }
    }

    /**
     * Creates a count that begins now.
     *
     * @param settings how strictly limits are kept
     * @param millis the monotonic clock, milliseconds
     * @param random draws whether a request is admitted that fits only in part
     * @param others what the other routers used
     * @param known tells how many routers there may be, this one included
     * @param metrics counts by organisation
     */
    public OrganisationLimiter(
            UsageSettings settings,
            LongSupplier millis,
            RandomGenerator random,
            PeerUsage others,
            IntSupplier known,
            MetricRegistry metrics) {
        mSettings = settings;
        mMillis = millis;
        mRandom = random;
        mOthers = others;
        mKnown = known;
        mMetrics = metrics;
        mStartedAt = millis.getAsLong();
    }

    /**
     * Takes the organisations of a version, unless it is the one that counts already.
     *
     * @param configuration the version in force
     */
    public void applyConfiguration(RoutingConfiguration configuration) {
        if (configuration.version() == mVersion) {
            return;
        }
        mVersion = configuration.version();
        Map<PartnerId, Organisation> organisations = configuration.organisations();
        if (mAccounts.keySet().retainAll(organisations.keySet())) {
            mMetrics.removeMatching((name, metric) -> name.startsWith(FIGURES) && !counted(name));
        }
        organisations.values().forEach(this::applyConfiguration);
    }

    /**
     * Returns whether a figure belongs to an organisation in force.
     *
     * @param name the figure's name
     * @return whether it does
     */
    private boolean counted(String name) {
        String id = name.substring(FIGURES.length(), name.lastIndexOf('.'));
        return mAccounts.containsKey(new PartnerId(id));
    }

    /**
     * Takes one organisation of a version. Of a lowered limit the difference is taken away over a
     * window: use that the limit before allowed would else refuse all that the new one allows. In
     * that time there is no burst, so that what is used from now on keeps to the new one.
     *
     * @param organisation the organisation
     */
    private void applyConfiguration(Organisation organisation) {
        long now = mMillis.getAsLong();
        double limit = organisation.limit().allowance(mSettings.windowSeconds());
        Account account = mAccounts.get(organisation.id());
        if (account == null) {
            account = new Account(limit, mSettings.windowMillis());
            mAccounts.put(organisation.id(), account);
        } else if (limit != account.mLimit.target()) {
            LOGGER.info(
                    "limit changed organisation={} before={} now={}",
                    organisation.id(),
                    (long) account.mLimit.target(),
                    (long) limit);
            account.mLimit.set(limit, now);
        }
        account.mOrganisation = organisation;
    }

    /**
     * Admits a request and counts it, or rejects it. An organisation without a limit is counted
     * too, so that operators see what it uses.
     *
     * @param organisation whose request it is
     * @param cost what it uses, in the limit's unit
     * @return why it is rejected, or empty where it is admitted
     */
    public Optional<Refusal> admit(Organisation organisation, double cost) {
        Account account = mAccounts.get(organisation.id());
        if (account == null) {
            return Optional.empty();
        }
        long now = mMillis.getAsLong();
        account.mMeter.recordRequested(cost, now);
        if (organisation.limit().isLimited()) {
            LimitHeadroom room = room(account, now);
            if (!room.admits(cost, mRandom)) {
                return Optional.of(refuse(account, cost, room, now));
            }
        }
        account.mMeter.recordUsed(cost, now);
        count(organisation.id(), "used", Math.round(cost));
        return Optional.empty();
    }

    /**
     * Looks how much more an organisation may use.
     *
     * @param account its account
     * @param now the monotonic clock, milliseconds
     * @return the room
     */
    private LimitHeadroom room(Account account, long now) {
        double limit = account.mLimit.current(now);
        UsageLimit inForce = account.mOrganisation.limit();
        double burst = limit > account.mLimit.target() ? inForce.burst() : 0;
        double paced = inForce.allowance(mSettings.paceSeconds()) - burst;
        return new LimitHeadroom(
                account.mMeter.recent(now),
                elsewhere(account.mOrganisation.id()),
                share(limit, forgottenUse(account, limit, now)).allowed(),
                share(paced, 0).allowed(),
                mSettings.windowMillis() * UsageSettings.PACE_FRACTION);
    }

    /**
     * Returns what is taken to have been used in the window that nobody remembers: so much that
     * what is left is the rate since the start, without the burst. A caller that uses less than its
     * rate is served on, and what a flood used before leaves the window as fast as the rate lets
     * in.
     *
     * @param account the organisation's account
     * @param limit what it may use in a window
     * @param now the monotonic clock, milliseconds
     * @return use in the limit's unit
     */
    private double forgottenUse(Account account, double limit, long now) {
        double routers = mOthers.organisations().forgotten() + forgotten(now);
        double part = Math.min(1, routers / known());
        double burst = account.mOrganisation.limit().burst();
        double held = burst * FORGOTTEN_BURSTS * Math.min(1, part * BURST_PARTS);
        return (limit - burst) * part + held;
    }

    /**
     * Refuses a request.
     *
     * @param account its organisation's account
     * @param cost what it would use
     * @param room what may be used
     * @param now the monotonic clock, milliseconds
     * @return the refusal
     */
    private Refusal refuse(Account account, double cost, LimitHeadroom room, long now) {
        PartnerId id = account.mOrganisation.id();
        account.mRefused++;
        count(id, "refused", 1);
        String detail =
                "%s used %d here and %d elsewhere of %d in %d ms"
                        .formatted(
                                id,
                                room.local().window(),
                                room.remote().window(),
                                (long) room.allowed(),
                                mSettings.windowMillis());
        if (account.mLines.over(now)) {
            LOGGER.info("organisation beyond its limit: {}", detail);
        }
        double beyond = cost - room.remaining();
        double freedPerMilli = Math.max(1, account.mLimit.target()) / mSettings.windowMillis();
        long wait = Math.round(beyond / freedPerMilli);
        long returnMillis = Math.max(LEAST_RETURN_MILLIS, Math.min(mSettings.windowMillis(), wait));
        return new Refusal(detail, returnMillis);
    }

    /**
     * Gives back what a request used that certainly did not run.
     *
     * @param organisation whose request it was
     * @param cost what it used
     * @param at when it was admitted, milliseconds
     */
    public void refund(Organisation organisation, double cost, long at) {
        Account account = mAccounts.get(organisation.id());
        if (account != null) {
            account.mMeter.subtract(cost, at, mMillis.getAsLong());
            count(organisation.id(), "given-back", Math.round(cost));
        }
    }

    /**
     * Counts for an organisation.
     *
     * @param organisation the organisation
     * @param what what is counted
     * @param more how much
     */
    private void count(PartnerId organisation, String what, long more) {
        mMetrics.counter(FIGURES + organisation + "." + what).inc(more);
    }

    /**
     * Returns how much of a limit the routers that hear each other may use.
     *
     * @param limit the limit
     * @param assumed what is taken to have been used that nobody remembers
     * @return the share
     */
    private LimitShare share(double limit, double assumed) {
        int heard = mOthers.peerCount() + 1;
        int known = known();
        boolean part = heard < known;
        if (part != mPartToldOf) {
            mPartToldOf = part;
            LOGGER.info("limits are kept with part={} heard={} known={}", part, heard, known);
        }
        return new LimitShare(limit, mSettings.tolerance(limit), heard, known, assumed);
    }

    /**
     * Returns how many routers there may be.
     *
     * @return the count, this one included
     */
    private int known() {
        return Math.max(mOthers.peerCount() + 1, mKnown.getAsInt());
    }

    /**
     * Returns what an organisation used at the others.
     *
     * @param organisation the organisation
     * @return its use
     */
    private RecentUsage elsewhere(PartnerId organisation) {
        return mOthers.organisations().used().getOrDefault(organisation, RecentUsage.NONE);
    }

    /**
     * Returns which part of the window lies before this router's start.
     *
     * @param now the monotonic clock, milliseconds
     * @return the part, 0 to 1
     */
    private double forgotten(long now) {
        return Math.max(0, 1 - (now - mStartedAt) / (double) mSettings.windowMillis());
    }

    /**
     * Returns what is to be reported to the others.
     *
     * @return what each organisation with a limit used here
     */
    public UsageReport report() {
        long now = mMillis.getAsLong();
        if (mAccounts.isEmpty()) {
            return UsageReport.NONE;
        }
        Map<PartnerId, RecentUsage> used = new HashMap<>();
        mAccounts.forEach(
                (id, account) -> {
                    RecentUsage sum = account.mMeter.recent(now);
                    if ((sum.window() > 0 || sum.asked() > 0)
                            && account.mOrganisation.limit().isLimited()) {
                        used.put(id, sum);
                    }
                });
        return new UsageReport(forgotten(now), used);
    }

    /**
     * Returns what is known of each organisation.
     *
     * @return the organisations by name
     */
    public List<Status> statuses() {
        long now = mMillis.getAsLong();
        return mAccounts.values().stream()
                .map(account -> standing(account, now))
                .sorted((one, other) -> one.organisation().compareTo(other.organisation()))
                .toList();
    }

    /**
     * Returns what is known of one organisation.
     *
     * @param account its account
     * @param now the monotonic clock, milliseconds
     * @return what operators see
     */
    private Status standing(Account account, long now) {
        UsageLimit limit = account.mOrganisation.limit();
        boolean bounded = limit.isLimited();
        LimitHeadroom room = room(account, now);
        return new Status(
                account.mOrganisation.id().value(),
                limit.unit().name().toLowerCase(Locale.ROOT),
                bounded ? Math.round(account.mLimit.target()) : 0,
                bounded ? Math.round(room.allowed()) : 0,
                room.local().window(),
                room.remote().window(),
                account.mRefused,
                account.mOrganisation.keys().stream().map(KeyHash::fingerprint).sorted().toList());
    }
}
