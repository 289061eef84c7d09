package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.node.ControlExecutor;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.role.RoleController;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.serving.ReservationAllocator;
import org.troutpier.daemon.serving.TrafficLoop;
import org.troutpier.daemon.serving.UpstreamLoads;
import org.troutpier.daemon.serving.UpstreamRates;
import org.troutpier.daemon.waiting.ReturnSchedule;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Reports this router's load to the others, shortly after each change and at a fixed interval
 * otherwise. Confined to the traffic loop.
 */
public final class LoadReporter {

    /** Interval at which an unchanged load is reported again, milliseconds. */
    private static final long MAX_INTERVAL_MILLIS = 500;

    /**
     * Interval at which waiting requests are reported, milliseconds: reports that others received
     * {@link WaitingReport#MAX_AGE_MILLIS} ago do not count, and one may be lost.
     */
    private static final long WAITING_INTERVAL_MILLIS = 140;

    private final TrafficLoop mLoop;

    private final UpstreamLoads mLoads;

    private final ReservationAllocator mReservations;

    private final ReturnSchedule mReturns;

    private final DemandMeter mDemand;

    private final OrganisationLimiter mOrganisations;

    private final UpstreamRates mRates;

    private final CurrentConfiguration mConfiguration;

    /** The calls to plain services that wait at this router. */
    private final Supplier<WaitingReport> mWaitingCalls;

    /** The calls to plain services that arrived recently at this router. */
    private final Supplier<RecentArrivals> mArrivals;

    /** Whether this router itself is overloaded. */
    private final BooleanSupplier mOverloaded;

    private final RoleController mRoles;

    private final ControlExecutor mControl;

    private final PeerExchange mExchange;

    private Map<UpstreamIncarnation, UpstreamUsage> mReportedUsage = new HashMap<>();

    private final ReportScheduler mScheduler;

    /** Whether requests wait that were not reported, or were reported some time ago. */
    private boolean mWaitingDue;

    private boolean mWaitingReported;

    /**
     * Creates a reporter.
     *
     * @param loads the usage of upstreams by this router
     * @param reservations requests that wait for reservations
     * @param returns the return times given to refused requests
     * @param demand the demand at this router
     * @param organisations the usage by organisations at this router
     * @param rates the rates that upstreams announce
     * @param waitingCalls the calls to plain services that wait at this router
     * @param arrivals the calls to plain services that arrived recently at this router
     * @param overloaded whether this router itself is overloaded
     * @param roles assigns engine roles, if this router holds the lease
     * @param control the control thread, where reports are sent
     * @param exchange sends reports
     */
    public LoadReporter(
            TrafficLoop loop,
            UpstreamLoads loads,
            ReservationAllocator reservations,
            ReturnSchedule returns,
            DemandMeter demand,
            OrganisationLimiter organisations,
            UpstreamRates rates,
            Supplier<WaitingReport> waitingCalls,
            Supplier<RecentArrivals> arrivals,
            BooleanSupplier overloaded,
            CurrentConfiguration configuration,
            RoleController roles,
            ControlExecutor control,
            PeerExchange exchange) {
        mLoop = loop;
        mLoads = loads;
        mReservations = reservations;
        mReturns = returns;
        mDemand = demand;
        mOrganisations = organisations;
        mRates = rates;
        mWaitingCalls = waitingCalls;
        mArrivals = arrivals;
        mOverloaded = overloaded;
        mConfiguration = configuration;
        mRoles = roles;
        mControl = control;
        mExchange = exchange;
        mScheduler = new ReportScheduler(loop, this::reportIfChanged);
    }

    /** Starts reporting. */
    public void start() {
        mLoop.execute(
                () -> {
                    mLoads.onUrgentChange(this::report);
                    mLoads.onChange(mScheduler::onCallChange);
                    mLoads.onTokensAdded(mScheduler::onTokensAdded);
                    mReservations.onWaiting(this::onWaiting);
                    mRoles.onChangingEngines(() -> mLoop.execute(this::onRoleChange));
                    reportPeriodically();
                });
    }

    private void onRoleChange() {
        mLoads.setChangingEngines(mRoles.changingEngines());
        report();
    }

    private void onWaiting() {
        mWaitingDue |=
                !mWaitingReported || mScheduler.millisSinceReport() >= WAITING_INTERVAL_MILLIS;
        if (mWaitingDue) {
            mScheduler.onCallChange();
        }
    }

    /** Reports if the usage or the announced rates changed, or waiting requests are due. */
    private void reportIfChanged() {
        Map<UpstreamIncarnation, UpstreamUsage> usage = mLoads.usage();
        if (mWaitingDue || !usage.equals(mReportedUsage) || mRates.hasUnreportedChanges()) {
            report(usage);
        }
    }

    /** Reports if nothing was reported for {@link #MAX_INTERVAL_MILLIS}. */
    private void reportPeriodically() {
        long remaining = MAX_INTERVAL_MILLIS - mScheduler.millisSinceReport();
        if (remaining <= 0) {
            report();
            remaining = MAX_INTERVAL_MILLIS;
        }
        mLoop.schedule(this::reportPeriodically, remaining);
    }

    private void report() {
        report(mLoads.usage());
    }

    private void report(Map<UpstreamIncarnation, UpstreamUsage> usage) {
        mScheduler.recordReport();
        mReportedUsage = usage;
        mConfiguration.current().ifPresent(mOrganisations::applyConfiguration);
        WaitingReport waiting = mReservations.waitingReport();
        mWaitingDue = false;
        mWaitingReported = !waiting.entries().isEmpty();
        LoadReport report =
                new LoadReport(
                        mConfiguration.version(),
                        1,
                        mRoles.holdsLease(),
                        mReservations.waitingTokens(),
                        mRoles.changingEngines(),
                        mLoads.refusingEngines(),
                        usage,
                        mDemand.publish(mLoop.millis()),
                        mOrganisations.report(),
                        mRates.report(),
                        waiting.plus(List.of(mWaitingCalls.get()))
                                .plusReturning(mReturns.returningCost(mLoop.millis())),
                        mLoads.paces().report(),
                        mArrivals.get(),
                        mOverloaded.getAsBoolean() ? 1 : 0);
        mControl.execute(() -> mExchange.publishLoad(report));
    }
}
