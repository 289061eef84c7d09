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
import org.troutpier.common.logging.LogThrottle;
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
 * Enforces the usage limits of organisations over all routers. Each router reports the usage that
 * it admits with its load, and admits what the sum leaves headroom for. Not thread safe; confined
 * to the traffic loop. Invariant: the usage admitted here stays, together with the reported usage
 * of the other routers, within the {@link LimitShare}.
 *
 * <p>A limit may amount to few requests per router and window. If each router had a fixed share of
 * such a limit, that share would be less than one request, and nearly all requests that the whole
 * limit allows would be rejected.
 */
public final class OrganisationLimiter {

    /** The HTTP path of the list of organisations for operators. */
    public static final String PATH = "/organisations";

    /** Minimum retry delay after a rejection, milliseconds. */
    private static final long MIN_RETRY_MILLIS = 250;

    /**
     * Number of bursts that are withheld soon after a start: the burst of the limit, and the amount
     * that may have been admitted beyond it before the start while views of the other routers were
     * stale.
     */
    private static final double WITHHELD_BURSTS = 1.25;

    /**
     * Number of parts of the window, in the last of which the burst becomes available again after a
     * start. In the last quarter, most of the earlier usage has left the window.
     */
    private static final double BURST_WINDOW_PARTS = 4;

    /** Minimum interval between two log lines about rejections of an organisation, milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    /** Prefix of the metric names of organisations. */
    private static final String METRIC_PREFIX = "organisation.";

    private static final Logger LOGGER = LogManager.getLogger(OrganisationLimiter.class);

    private final UsageSettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** The source of randomness for requests that fit only partly. */
    private final RandomGenerator mRandom;

    private final PeerUsage mPeers;

    /** The number of routers that may exist, this one included. */
    private final IntSupplier mKnownRouters;

    private final MetricRegistry mMetrics;

    /** When this router started to record usage, milliseconds. */
    private final long mStartedAt;

    private final Map<PartnerId, Account> mAccounts = new HashMap<>();

    /** The configuration version that the accounts correspond to. */
    private long mVersion = -1;

    /** Whether some routers were unreachable when this was last logged. */
    private boolean mLoggedPartial;

    /**
     * The reason why a request is rejected. Immutable and thread safe.
     *
     * @param detail the usage and the limit on which the decision was based
     * @param returnMillis the time until headroom is expected, milliseconds
     */
    public record Refusal(String detail, long returnMillis) {}

    /**
     * The status of an organisation as shown to operators. Immutable and thread safe.
     *
     * @param organisation the name of the organisation
     * @param unit the unit of its usage
     * @param limit the limit per window over all routers; 0 for no limit
     * @param most the part of the limit that the connected routers admit now
     * @param here the usage in the window at this router
     * @param elsewhere the usage in the window at the other routers
     * @param refused the number of requests rejected by this router since its start
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

    /** The usage of an organisation at this router and its current limit. */
    private static final class Account {

        private final UsageMeter mMeter;

        private final GradualLimit mLimit;

        /** The organisation in the configuration version in force. */
        private Organisation mOrganisation;

        private long mRejected;

        /** Limits the rate of log lines about rejections. */
        private final LogThrottle mLogPause = new LogThrottle(LOG_INTERVAL_MILLIS);

        Account(double limit, long windowMillis) {
            mMeter = new UsageMeter(windowMillis);
            mLimit = new GradualLimit(limit, windowMillis);
        }
    }

    /**
     * Creates a limiter without recorded usage.
     *
     * @param millis the monotonic clock, milliseconds
     * @param random the source of randomness for requests that fit only partly
     * @param others the usage reported by the other routers
     * @param known the number of routers that may exist, this one included
     * @param metrics the registry of the counters by organisation
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
        mPeers = others;
        mKnownRouters = known;
        mMetrics = metrics;
        mStartedAt = millis.getAsLong();
    }

    /** Applies the organisations of a configuration version unless they are already in effect. */
    public void applyConfiguration(RoutingConfiguration configuration) {
        if (configuration.version() == mVersion) {
            return;
        }
        mVersion = configuration.version();
        Map<PartnerId, Organisation> organisations = configuration.organisations();
        if (mAccounts.keySet().retainAll(organisations.keySet())) {
            mMetrics.removeMatching(
                    (name, metric) -> name.startsWith(METRIC_PREFIX) && !isConfigured(name));
        }
        organisations.values().forEach(this::applyConfiguration);
    }

    /** Returns whether a metric belongs to an organisation of the version in force. */
    private boolean isConfigured(String name) {
        String id = name.substring(METRIC_PREFIX.length(), name.lastIndexOf('.'));
        return mAccounts.containsKey(new PartnerId(id));
    }

    /**
     * Applies one organisation of a version. A lowered limit takes effect gradually over one
     * window, since usage allowed under the previous limit would otherwise cause the rejection of
     * everything that the new one allows. There is no burst in that time, so new usage complies
     * with the new limit.
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
     * Admits and records a request, or rejects it. The usage of an organisation without a limit is
     * recorded too, so that operators can see it.
     *
     * @param cost the usage of the request, in the unit of the limit
     * @return the reason for a rejection; empty if the request is admitted
     */
    public Optional<Refusal> admit(Organisation organisation, double cost) {
        Account account = mAccounts.get(organisation.id());
        if (account == null) {
            return Optional.empty();
        }
        long now = mMillis.getAsLong();
        account.mMeter.recordRequested(cost, now);
        if (organisation.limit().isLimited()) {
            LimitHeadroom headroom = headroom(account, now);
            if (!headroom.admits(cost, mRandom)) {
                return Optional.of(reject(account, cost, headroom, now));
            }
        }
        account.mMeter.recordUsed(cost, now);
        count(organisation.id(), "used", Math.round(cost));
        return Optional.empty();
    }

    private LimitHeadroom headroom(Account account, long now) {
        double limit = account.mLimit.current(now);
        UsageLimit inForce = account.mOrganisation.limit();
        double burst = limit > account.mLimit.target() ? inForce.burst() : 0;
        double allowedPaced = inForce.allowance(mSettings.paceSeconds()) - burst;
        return new LimitHeadroom(
                here(account, now),
                elsewhere(account.mOrganisation.id()),
                share(limit, assumedUsage(account, limit, now)).allowed(),
                share(allowedPaced, 0).allowed(),
                mSettings.windowMillis() * UsageSettings.PACE_FRACTION);
    }

    /**
     * Returns the usage in the window that is assumed because no router has a record of it, in the
     * unit of the limit. It is such that the rate since the start is available, without the burst:
     * callers below their rate continue to be served, and the usage of an earlier flood leaves the
     * window at the rate at which requests are admitted.
     */
    private double assumedUsage(Account account, double limit, long now) {
        double routers = mPeers.organisations().forgotten() + forgotten(now);
        double fraction = Math.min(1, routers / known());
        double burst = account.mOrganisation.limit().burst();
        double held = burst * WITHHELD_BURSTS * Math.min(1, fraction * BURST_WINDOW_PARTS);
        return (limit - burst) * fraction + held;
    }

    private Refusal reject(Account account, double cost, LimitHeadroom headroom, long now) {
        PartnerId id = account.mOrganisation.id();
        account.mRejected++;
        count(id, "refused", 1);
        String detail =
                "%s used %d here and %d elsewhere of %d in %d ms"
                        .formatted(
                                id,
                                headroom.local().window(),
                                headroom.remote().window(),
                                (long) headroom.allowed(),
                                mSettings.windowMillis());
        if (account.mLogPause.tryAcquire(now)) {
            LOGGER.info("request refused, organisation over its usage limit: {}", detail);
        }
        double excess = cost - headroom.remaining();
        double freedPerMilli = Math.max(1, account.mLimit.target()) / mSettings.windowMillis();
        long waitMillis = Math.round(excess / freedPerMilli);
        long returnMillis =
                Math.max(MIN_RETRY_MILLIS, Math.min(mSettings.windowMillis(), waitMillis));
        return new Refusal(detail, returnMillis);
    }

    /**
     * Refunds the usage of a request that certainly did not run.
     *
     * @param cost the usage recorded for the request, in the unit of the limit
     * @param at when it was admitted, milliseconds
     */
    public void refund(Organisation organisation, double cost, long at) {
        Account account = mAccounts.get(organisation.id());
        if (account != null) {
            account.mMeter.subtract(cost, at, mMillis.getAsLong());
            count(organisation.id(), "given-back", Math.round(cost));
        }
    }

    private void count(PartnerId organisation, String what, long more) {
        mMetrics.counter(METRIC_PREFIX + organisation + "." + what).inc(more);
    }

    /**
     * Returns the part of a limit that the connected routers may use, and logs when routers become
     * unreachable or all are reachable again.
     */
    private LimitShare share(double limit, double assumed) {
        int reachable = mPeers.peerCount() + 1;
        int known = known();
        boolean partial = reachable < known;
        if (partial != mLoggedPartial) {
            mLoggedPartial = partial;
            LOGGER.info(
                    "routers sharing organisation limits changed part={} heard={} known={}",
                    partial,
                    reachable,
                    known);
        }
        return new LimitShare(limit, mSettings.tolerance(limit), reachable, known, assumed);
    }

    /** Returns the number of routers that may exist, at least those that are reachable. */
    private int known() {
        return Math.max(mPeers.peerCount() + 1, mKnownRouters.getAsInt());
    }

    /**
     * Returns the usage here. Soon after the start, demand was recorded for only part of its
     * window. Routers that start together would otherwise take a flood for little demand, and each
     * of them would admit what the limit leaves for all.
     */
    private RecentUsage here(Account account, long now) {
        double recordedMillis = Math.max(LimitHeadroom.STALE_MILLIS, now - mStartedAt);
        double paceMillis = mSettings.windowMillis() * UsageSettings.PACE_FRACTION;
        double recorded = Math.min(1, recordedMillis / paceMillis);
        return account.mMeter.recent(now).withDemandExtrapolated(recorded);
    }

    private RecentUsage elsewhere(PartnerId organisation) {
        return mPeers.organisations().used().getOrDefault(organisation, RecentUsage.NONE);
    }

    /** Returns the fraction of the window that lies before the start of this router, 0 to 1. */
    private double forgotten(long now) {
        return Math.max(0, 1 - (now - mStartedAt) / (double) mSettings.windowMillis());
    }

    /**
     * Returns the usage here of organisations with a limit, to be reported to the other routers.
     */
    public UsageReport report() {
        long now = mMillis.getAsLong();
        if (mAccounts.isEmpty()) {
            return UsageReport.NONE;
        }
        Map<PartnerId, RecentUsage> used = new HashMap<>();
        mAccounts.forEach(
                (id, account) -> {
                    RecentUsage sum = here(account, now);
                    if ((sum.window() > 0 || sum.asked() > 0)
                            && account.mOrganisation.limit().isLimited()) {
                        used.put(id, sum);
                    }
                });
        return new UsageReport(forgotten(now), used);
    }

    /** Returns the status of each organisation, sorted by name. */
    public List<Status> statuses() {
        long now = mMillis.getAsLong();
        return mAccounts.values().stream()
                .map(account -> status(account, now))
                .sorted((one, other) -> one.organisation().compareTo(other.organisation()))
                .toList();
    }

    private Status status(Account account, long now) {
        UsageLimit limit = account.mOrganisation.limit();
        boolean bounded = limit.isLimited();
        LimitHeadroom headroom = headroom(account, now);
        return new Status(
                account.mOrganisation.id().value(),
                limit.unit().name().toLowerCase(Locale.ROOT),
                bounded ? Math.round(account.mLimit.target()) : 0,
                bounded ? Math.round(headroom.allowed()) : 0,
                headroom.local().window(),
                headroom.remote().window(),
                account.mRejected,
                account.mOrganisation.keys().stream().map(KeyHash::fingerprint).sorted().toList());
    }
}
