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
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.organisation.PeerUsage;
import org.troutpier.daemon.organisation.UsageReport;

/**
 * What the other routers said of their load and demand. Changes are confined to the control thread;
 * {@link #upstreamUsage}, {@link #demand}, {@link #organisations()}, {@link #rate}, {@link
 * #isChangingRole}, {@link #isRefusing}, {@link #waitingTokens()}, {@link #peerCount()} and {@link
 * #hasRoleHolder()} are thread safe and answer as of the last {@link #aggregate}. Invariants: a
 * report counts until {@link #REPORT_TTL_MILLIS} after it was heard; only reports of the scopes
 * that are counted count, so that no router's load is counted twice.
 */
public final class PeerLoads implements PeerUsage, PeerRates {

    /** How long a report counts, milliseconds: three of the longest pauses between two. */
    public static final long REPORT_TTL_MILLIS = 1500;

    /** What routers used that have fallen silent. */
    private final RetainedUsage mRetained;

    /** The latest report of each router. */
    private final Map<Incarnation, Heard> mHeard = new HashMap<>();

    /** The scopes that count. */
    private Set<ReportScope> mCounted = EnumSet.of(ReportScope.OWN);

    /** Whether something was heard since the last sum. */
    private boolean mNews;

    /** The sum over all reports that count. */
    private volatile Summed mSum = new Summed(LoadReport.NONE, 0);

    /**
     * A sum over reports.
     *
     * @param report the sum
     * @param at when it was made, milliseconds
     */
    private record Summed(LoadReport report, long at) {}

    /**
     * A report and when it came.
     *
     * @param source whose load it tells of
     * @param report the report
     * @param at when it came, milliseconds
     */
    private record Heard(RetainedUsage.Source source, LoadReport report, long at) {

        /**
         * Returns whose load it tells of.
         *
         * @return the scope
         */
        ReportScope scope() {
            return source.scope();
        }

        /**
         * Returns the report as it is now.
         *
         * @param now the monotonic clock, milliseconds
         * @return the report, older by the time since it came
         */
        LoadReport reportAt(long now) {
            return report.later(now - at);
        }
    }

    /** Creates a view in which nobody has said anything, with the limits' default window. */
    public PeerLoads() {
        this(UsageSettings.DEFAULT);
    }

    /**
     * Creates a view in which nobody has said anything.
     *
     * @param use how long organisations' use counts
     */
    public PeerLoads(UsageSettings use) {
        mRetained = new RetainedUsage(use.windowMillis());
    }

    /**
     * Takes a report. It shows once {@link #aggregate} was called.
     *
     * @param from who sent it
     * @param hall the sender's hall
     * @param scope whose load it tells of
     * @param report the report
     * @param now the monotonic clock, milliseconds
     * @return whether it says something new of the load
     */
    public boolean update(
            Incarnation from, HallId hall, ReportScope scope, LoadReport report, long now) {
        mNews = true;
        Heard before = mHeard.get(from);
        if (before == null) {
            forgetEarlierStarts(from);
        }
        boolean own = scope == ReportScope.OWN;
        String name = own ? from.instance().value() : hall.value();
        RetainedUsage.Source source = new RetainedUsage.Source(scope, name);
        boolean started = own && report.organisations().forgotten() > 0;
        boolean remembered = started && mRetained.keeps(source);
        if (!started) {
            mRetained.forget(source);
        }
        LoadReport told =
                remembered ? report.with(report.organisations().withFullHistory()) : report;
        mHeard.put(from, new Heard(source, told, now));
        return before == null || before.scope() != scope || !before.report().sameLoad(report);
    }

    /**
     * Drops what earlier starts of a router said, and keeps what they used.
     *
     * @param router the start that counts
     */
    private void forgetEarlierStarts(Incarnation router) {
        drop((each, heard) -> !each.equals(router) && each.instance().equals(router.instance()));
    }

    /**
     * Drops what some routers said, and keeps what they used.
     *
     * @param gone which routers
     * @return whether there were any
     */
    private boolean drop(BiPredicate<Incarnation, Heard> gone) {
        return mHeard.entrySet()
                .removeIf(
                        each -> {
                            Heard heard = each.getValue();
                            boolean dropped = gone.test(each.getKey(), heard);
                            if (dropped && heard.scope() != ReportScope.REST) {
                                UsageReport use = heard.report().organisations();
                                mRetained.keep(heard.source(), use, heard.at());
                            }
                            return dropped;
                        });
    }

    /**
     * Sets which scopes count.
     *
     * @param counted the scopes
     */
    void count(Set<ReportScope> counted) {
        mCounted = Set.copyOf(counted);
    }

    /**
     * Sums up what still counts.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void aggregate(long now) {
        mNews = false;
        dropOld(now);
        mSum = new Summed(LoadReport.NONE.plus(reports(mCounted, null, now)), now);
    }

    /**
     * Drops what no longer counts, and sums up if there was any or something was heard.
     *
     * @param now the monotonic clock, milliseconds
     */
    void refresh(long now) {
        if (dropOld(now) || mNews) {
            aggregate(now);
        }
    }

    /**
     * Drops what no longer counts.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether there was any
     */
    private boolean dropOld(long now) {
        return drop((router, heard) -> now - heard.at() > REPORT_TTL_MILLIS);
    }

    /**
     * Returns what organisations used at routers that have fallen silent.
     *
     * @param scopes the scopes that count
     * @param now the monotonic clock, milliseconds
     * @return the use; of a hall whose group another router tells of, nothing
     */
    private UsageReport retained(Set<ReportScope> scopes, long now) {
        return mRetained.sum(scopes, this::tellsOfGroup, now);
    }

    /**
     * Returns whether a router tells of the group of a hall.
     *
     * @param source the hall's group, or a router's own load, of which no other tells
     * @return whether one does
     */
    private boolean tellsOfGroup(RetainedUsage.Source source) {
        return source.scope() == ReportScope.GROUP
                && mHeard.values().stream().anyMatch(heard -> heard.source().equals(source));
    }

    /**
     * Returns the routers that were heard lately.
     *
     * @param scope with what scope
     * @return who they are
     */
    Set<Incarnation> reporters(ReportScope scope) {
        Set<Incarnation> routers = new HashSet<>();
        mHeard.forEach(
                (router, heard) -> {
                    if (heard.scope() == scope) {
                        routers.add(router);
                    }
                });
        return routers;
    }

    /**
     * Returns the reports with some scopes.
     *
     * @param scopes the scopes
     * @param without a router to leave out, or null
     * @param now the monotonic clock, milliseconds
     * @return the reports, and one of the use of those that have fallen silent
     */
    List<LoadReport> reports(Set<ReportScope> scopes, Incarnation without, long now) {
        List<LoadReport> reports = new ArrayList<>();
        mHeard.forEach(
                (router, heard) -> {
                    if (scopes.contains(heard.scope()) && !router.equals(without)) {
                        reports.add(heard.reportAt(now));
                    }
                });
        reports.add(LoadReport.of(retained(scopes, now)));
        return reports;
    }

    /**
     * Returns what the others have under way at an upstream.
     *
     * @param upstream the upstream
     * @return the sum
     */
    public UpstreamUsage upstreamUsage(UpstreamIncarnation upstream) {
        return mSum.report().uses().getOrDefault(upstream, UpstreamUsage.NONE);
    }

    /**
     * Returns whether an engine changes its role by another router's order.
     *
     * @param engine the engine
     * @return whether one said so lately
     */
    public boolean isChangingRole(UpstreamIncarnation engine) {
        return mSum.report().changing().contains(engine);
    }

    /**
     * Returns whether an engine refused runs of another router lately.
     *
     * @param engine the engine
     * @return whether one said so
     */
    public boolean isRefusing(UpstreamIncarnation engine) {
        return mSum.report().refusing().contains(engine);
    }

    /**
     * Returns what callers asked of the others lately.
     *
     * @param service the service
     * @return the sum
     */
    public Demand demand(String service) {
        return mSum.report().demands().getOrDefault(service, Demand.NONE);
    }

    /**
     * Returns how much the requests need that wait for memory at the others.
     *
     * @return the tokens of their prompts
     */
    public long waitingTokens() {
        return mSum.report().waitingTokens();
    }

    /** {@inheritDoc} */
    @Override
    public UsageReport organisations() {
        return mSum.report().organisations();
    }

    /** {@inheritDoc} */
    @Override
    public RateReport rate(UpstreamIncarnation upstream, long now) {
        Summed sum = mSum;
        RateReport rate = sum.report().rates().get(upstream);
        return rate == null ? RateReport.NONE : rate.aged(now - sum.at());
    }

    /** {@inheritDoc} */
    @Override
    public int peerCount() {
        return mSum.report().routers();
    }

    /**
     * Returns whether one of the others decides engines' roles.
     *
     * @return whether one said so lately
     */
    public boolean hasRoleHolder() {
        return mSum.report().roleHolder();
    }
}
