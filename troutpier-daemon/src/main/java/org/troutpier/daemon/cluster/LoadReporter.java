package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.node.ControlExecutor;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.role.RoleController;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.serving.ReservationAllocator;
import org.troutpier.daemon.serving.TrafficLoop;
import org.troutpier.daemon.serving.UpstreamLoads;
import org.troutpier.daemon.serving.UpstreamRates;

/**
 * Reports this router's load to the others: soon after it changed, and now and then when it did
 * not. Confined to the traffic loop.
 */
public final class LoadReporter {

    /** After how long an unchanged load is reported again, milliseconds. */
    private static final long UNCHANGED_MILLIS = 500;

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** What is under way. */
    private final UpstreamLoads mLoads;

    /** Who waits for places. */
    private final ReservationAllocator mPlaces;

    /** What was asked lately. */
    private final DemandMeter mDemand;

    /** What organisations used here. */
    private final OrganisationLimiter mOrganisations;

    /** The rates that upstreams name. */
    private final UpstreamRates mRates;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** Decides engines' roles, if this router does. */
    private final RoleController mRoles;

    /** The control thread, where reports are sent. */
    private final ControlExecutor mControl;

    /** Sends reports. */
    private final PeerExchange mExchange;

    /** The use that was reported last. */
    private Map<UpstreamIncarnation, UpstreamUse> mReported = new HashMap<>();

    /** When it is looked what changed. */
    private final ReportPace mPace;

    /**
     * Creates a reporter.
     *
     * @param loop the traffic loop
     * @param loads what is under way
     * @param places who waits for places
     * @param demand what was asked lately
     * @param organisations what organisations used here
     * @param rates the rates that upstreams name
     * @param configuration the version in force
     * @param roles decides engines' roles, if this router does
     * @param control the control thread
     * @param exchange sends reports
     */
    public LoadReporter(
            TrafficLoop loop,
            UpstreamLoads loads,
            ReservationAllocator places,
            DemandMeter demand,
            OrganisationLimiter organisations,
            UpstreamRates rates,
            CurrentConfiguration configuration,
            RoleController roles,
            ControlExecutor control,
            PeerExchange exchange) {
        mLoop = loop;
        mLoads = loads;
        mPlaces = places;
        mDemand = demand;
        mOrganisations = organisations;
        mRates = rates;
        mConfiguration = configuration;
        mRoles = roles;
        mControl = control;
        mExchange = exchange;
        mPace = new ReportPace(loop, this::look);
    }

    /** Starts to report. */
    public void start() {
        mLoop.execute(
                () -> {
                    mLoads.onUrgentChange(this::report);
                    mLoads.onChange(mPace::changed);
                    mLoads.onTokensAdded(mPace::grown);
                    mRoles.onChangingEngines(() -> mLoop.execute(this::rolesChange));
                    repeat();
                });
    }

    /** Takes the engines that change their role. */
    private void rolesChange() {
        mLoads.setChangingEngines(mRoles.changingEngines());
        report();
    }

    /** Reports if there is something new to tell. */
    private void look() {
        Map<UpstreamIncarnation, UpstreamUse> uses = mLoads.usage();
        if (!uses.equals(mReported) || mRates.hasUnreportedChanges()) {
            report(uses);
        }
    }

    /** Reports again what has not changed for long. */
    private void repeat() {
        long left = UNCHANGED_MILLIS - mPace.ageMillis();
        if (left <= 0) {
            report();
            left = UNCHANGED_MILLIS;
        }
        mLoop.schedule(this::repeat, left);
    }

    /** Reports now. */
    private void report() {
        report(mLoads.usage());
    }

    /**
     * Reports now.
     *
     * @param uses what is under way
     */
    private void report(Map<UpstreamIncarnation, UpstreamUse> uses) {
        mPace.reported();
        mReported = uses;
        mConfiguration.current().ifPresent(mOrganisations::applyConfiguration);
        LoadReport report =
                new LoadReport(
                        mConfiguration.version(),
                        1,
                        mRoles.holdsLease(),
                        mPlaces.waitingTokens(),
                        mRoles.changingEngines(),
                        mLoads.refusingEngines(),
                        uses,
                        mDemand.publish(mLoop.millis()),
                        mOrganisations.report(),
                        mRates.report());
        mControl.execute(() -> mExchange.tell(report));
    }
}
