package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.limit.PeerRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.organisation.PeerUsage;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.pace.PeerPaces;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Aggregates the load and demand that the other routers report. Changes are confined to the control
 * thread; {@link #upstreamUsage}, {@link #demand}, {@link #organisations()}, {@link #rate}, {@link
 * #isChangingRole}, {@link #isRefusing}, {@link #waitingTokens()}, {@link #waiting()}, {@link
 * #waiting(long)}, {@link #arrivals()}, {@link #mostHaveRoom()}, {@link #pace}, {@link
 * #peerCount()} and {@link #hasRoleHolder()} are thread safe and answer as of the last {@link
 * #aggregate}. Invariants: a report expires {@link #REPORT_TTL_MILLIS} after it was received; only
 * reports of the counted scopes enter the aggregate, so that no router's load is counted twice.
 */
public final class PeerLoads implements PeerUsage, PeerRates, PeerPaces {

    /**
     * Time after which a report expires, milliseconds: three times the longest interval between two
     * reports of a router.
     */
    public static final long REPORT_TTL_MILLIS = 1500;

    /** Usage by organisations at routers that stopped reporting. */
    private final RetainedUsage mRetainedUsage;

    private final Map<Incarnation, ReceivedReport> mReports = new HashMap<>();

    private Set<ReportScope> mCountedScopes = EnumSet.of(ReportScope.OWN);

    /** Whether a report was received since the last aggregation. */
    private boolean mOutdated;

    private volatile Aggregate mAggregate = new Aggregate(LoadReport.NONE, 0);

    /**
     * An aggregate of reports.
     *
     * @param report the aggregate
     * @param computedMillis when it was computed, milliseconds on the monotonic clock
     */
    private record Aggregate(LoadReport report, long computedMillis) {}

    /**
     * A report and when it was received.
     *
     * @param source the router or group whose load it describes
     * @param report the report
     * @param receivedMillis when it was received, milliseconds on the monotonic clock
     */
    private record ReceivedReport(
            RetainedUsage.Source source, LoadReport report, long receivedMillis) {

        ReportScope scope() {
            return source.scope();
        }

        /**
         * Returns the report aged by the time since it was received.
         *
         * @param now the monotonic clock, milliseconds
         */
        LoadReport reportAt(long now) {
            return report.aged(now - receivedMillis);
        }
    }

    /** Creates an instance without any reports, with the default window of usage limits. */
    public PeerLoads() {
        this(UsageSettings.DEFAULT);
    }

    /**
     * Creates an instance without any reports.
     *
     * @param usage settings of usage limits; their window is how long usage is retained
     */
    public PeerLoads(UsageSettings usage) {
        mRetainedUsage = new RetainedUsage(usage.windowMillis());
    }

    /**
     * Stores a router's report, in place of its previous one. It takes effect at the next {@link
     * #aggregate}.
     *
     * @param scope the routers whose load the report describes
     * @param now the monotonic clock, milliseconds
     * @return whether the sender, its scope or its load differ from what was known; see {@link
     *     LoadReport#hasSameLoad}
     */
    public boolean update(
            Incarnation from, HallId hall, ReportScope scope, LoadReport report, long now) {
        mOutdated = true;
        ReceivedReport before = mReports.get(from);
        if (before == null) {
            discardEarlierStarts(from);
        }
        boolean own = scope == ReportScope.OWN;
        String name = own ? from.instance().value() : hall.value();
        RetainedUsage.Source source = new RetainedUsage.Source(scope, name);
        boolean lacksHistory = own && report.organisations().forgotten() > 0;
        boolean historyRetained = lacksHistory && mRetainedUsage.contains(source);
        if (!lacksHistory) {
            mRetainedUsage.remove(source);
        }
        LoadReport stored =
                historyRetained
                        ? report.withUsage(report.organisations().withFullHistory())
                        : report;
        mReports.put(from, new ReceivedReport(source, stored, now));
        return before == null || before.scope() != scope || !before.report().hasSameLoad(report);
    }

    /**
     * Discards a router's report of its own load, since its process has ended. It takes effect at
     * the next {@link #aggregate}. A report for other routers as well is kept until it expires.
     *
     * @return whether there was one
     */
    boolean discardOwn(Incarnation router) {
        boolean discarded =
                discardIf(
                        (each, received) ->
                                each.equals(router) && received.scope() == ReportScope.OWN);
        mOutdated |= discarded;
        return discarded;
    }

    /**
     * Discards reports of earlier starts of a router, and retains their usage.
     *
     * @param router the current start
     */
    private void discardEarlierStarts(Incarnation router) {
        discardIf(
                (each, received) ->
                        !each.equals(router) && each.instance().equals(router.instance()));
    }

    /**
     * Discards reports, and retains the usage of those that are not of scope {@link
     * ReportScope#REST}, which describes other routers' usage.
     *
     * @param condition selects the reports to discard
     * @return whether any was discarded
     */
    private boolean discardIf(BiPredicate<Incarnation, ReceivedReport> condition) {
        return mReports.entrySet()
                .removeIf(
                        each -> {
                            ReceivedReport received = each.getValue();
                            boolean discarded = condition.test(each.getKey(), received);
                            if (discarded && received.scope() != ReportScope.REST) {
                                UsageReport usage = received.report().organisations();
                                mRetainedUsage.retain(
                                        received.source(), usage, received.receivedMillis());
                            }
                            return discarded;
                        });
    }

    void setCountedScopes(Set<ReportScope> counted) {
        mCountedScopes = Set.copyOf(counted);
    }

    /**
     * Recomputes the aggregate from reports that have not expired.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void aggregate(long now) {
        mOutdated = false;
        discardExpired(now);
        mAggregate = new Aggregate(LoadReport.NONE.plus(reports(mCountedScopes, null, now)), now);
    }

    /**
     * Recomputes the aggregate if a report expired or was received since it was computed.
     *
     * @param now the monotonic clock, milliseconds
     */
    void aggregateIfOutdated(long now) {
        if (discardExpired(now) || mOutdated) {
            aggregate(now);
        }
    }

    private boolean discardExpired(long now) {
        return discardIf((router, received) -> now - received.receivedMillis() > REPORT_TTL_MILLIS);
    }

    /**
     * Returns the usage by organisations at routers that stopped reporting, except routers of a
     * hall whose group is reported by another relay.
     *
     * @param scopes the counted scopes
     * @param now the monotonic clock, milliseconds
     * @return the usage that is still in the window
     */
    private UsageReport retainedUsage(Set<ReportScope> scopes, long now) {
        return mRetainedUsage.total(scopes, this::isCoveredGroup, now);
    }

    /**
     * Returns whether a source is a hall's group that a current report covers. No other report
     * covers a single router's own load.
     */
    private boolean isCoveredGroup(RetainedUsage.Source source) {
        return source.scope() == ReportScope.GROUP
                && mReports.values().stream()
                        .anyMatch(received -> received.source().equals(source));
    }

    Set<Incarnation> reporters(ReportScope scope) {
        Set<Incarnation> routers = new HashSet<>();
        mReports.forEach(
                (router, received) -> {
                    if (received.scope() == scope) {
                        routers.add(router);
                    }
                });
        return routers;
    }

    /**
     * Returns the current reports of the given scopes, and a report of the usage at routers that
     * stopped reporting.
     *
     * @param excluded a router whose report is left out, or null
     * @param now the monotonic clock, milliseconds
     */
    List<LoadReport> reports(Set<ReportScope> scopes, Incarnation excluded, long now) {
        List<LoadReport> reports = new ArrayList<>();
        mReports.forEach(
                (router, received) -> {
                    if (scopes.contains(received.scope()) && !router.equals(excluded)) {
                        reports.add(received.reportAt(now));
                    }
                });
        reports.add(LoadReport.ofUsage(retainedUsage(scopes, now)));
        return reports;
    }

    /** Returns the usage of an upstream by the other routers. */
    public UpstreamUsage upstreamUsage(UpstreamIncarnation upstream) {
        return mAggregate.report().uses().getOrDefault(upstream, UpstreamUsage.NONE);
    }

    /** Returns whether another router has ordered an engine to change its role. */
    public boolean isChangingRole(UpstreamIncarnation engine) {
        return mAggregate.report().changing().contains(engine);
    }

    /** Returns whether an engine recently refused runs of another router. */
    public boolean isRefusing(UpstreamIncarnation engine) {
        return mAggregate.report().refusing().contains(engine);
    }

    /** Returns the recent demand for a service at the other routers. */
    public Demand demand(String service) {
        return mAggregate.report().demands().getOrDefault(service, Demand.NONE);
    }

    /** Returns the recent prompt tokens of all services at the other routers. */
    double recentPromptTokens() {
        return mAggregate.report().demands().values().stream()
                .mapToDouble(Demand::recentPromptTokens)
                .sum();
    }

    /** Returns the prompt tokens of requests that wait for engine memory at the other routers. */
    public long waitingTokens() {
        return mAggregate.report().waitingTokens();
    }

    /** Returns the requests that wait for capacity at the other routers. */
    public WaitingReport waiting() {
        return mAggregate.report().waiting();
    }

    /**
     * Returns the requests that wait for capacity at the other routers, aged since the reports were
     * aggregated.
     *
     * @param now the monotonic clock, milliseconds
     */
    public WaitingReport waiting(long now) {
        Aggregate aggregate = mAggregate;
        return aggregate.report().waiting().aged(Math.max(0, now - aggregate.computedMillis()));
    }

    /** Returns the calls to plain services that arrived recently at the other routers. */
    public RecentArrivals arrivals() {
        return mAggregate.report().arrivals();
    }

    /** Returns whether there are other routers and fewer than half of them are overloaded. */
    public boolean mostHaveRoom() {
        LoadReport report = mAggregate.report();
        return 2 * report.overloaded() < report.routers();
    }

    /** {@inheritDoc} */
    @Override
    public PaceReport pace(UpstreamIncarnation upstream, long now) {
        Aggregate aggregate = mAggregate;
        PaceReport pace = aggregate.report().paces().get(upstream);
        return pace == null ? PaceReport.NONE : pace.aged(now - aggregate.computedMillis());
    }

    /** {@inheritDoc} */
    @Override
    public UsageReport organisations() {
        return mAggregate.report().organisations();
    }

    /** {@inheritDoc} */
    @Override
    public RateReport rate(UpstreamIncarnation upstream, long now) {
        Aggregate aggregate = mAggregate;
        RateReport rate = aggregate.report().rates().get(upstream);
        return rate == null ? RateReport.NONE : rate.aged(now - aggregate.computedMillis());
    }

    /** {@inheritDoc} */
    @Override
    public int peerCount() {
        return mAggregate.report().routers();
    }

    /** Returns whether another router holds the lease to assign engine roles. */
    public boolean hasRoleHolder() {
        return mAggregate.report().roleHolder();
    }
}
