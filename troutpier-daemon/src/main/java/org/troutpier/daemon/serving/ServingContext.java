package org.troutpier.daemon.serving;

import java.util.random.RandomGenerator;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.cluster.LoadView;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.decision.GrowthMargin;
import org.troutpier.daemon.decision.LatencyEstimator;
import org.troutpier.daemon.decision.RetryPacer;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.organisation.OrganisationLimiter;

/**
 * The collaborators of each request's execution. Immutable; confined to the traffic loop, as are
 * the parts.
 *
 * @param loop the traffic loop
 * @param port sends calls to upstreams
 * @param directory the upstreams
 * @param loads what is under way at each upstream
 * @param admission admits calls to upstreams by what these announce
 * @param extraCallBudget bounds extra calls
 * @param reservations gives out places at decode engines
 * @param organisationLimiter keeps organisations to their limits
 * @param recentRefusals which requests were refused lately
 * @param crashGuard keeps requests from upstreams that have ended several
 * @param retryPacer tells refused callers when to come back
 * @param growthMargin how much memory stays free for growth
 * @param prefillExcess by how much readings take longer than predicted
 * @param firstEventDelay how long runs take to their first event
 * @param peerLoads what the other routers said
 * @param loadView has decisions made by what they have under way now
 * @param demandMeter measures what is asked of model services
 * @param metrics counts and measures
 * @param decisionLog logs what was decided about requests
 * @param random draws splits
 */
public record ServingContext(
        TrafficLoop loop,
        UpstreamPort port,
        UpstreamDirectory directory,
        UpstreamLoads loads,
        UpstreamAdmission admission,
        ExtraCallBudget extraCallBudget,
        ReservationAllocator reservations,
        OrganisationLimiter organisationLimiter,
        RecentRefusals recentRefusals,
        CrashGuard crashGuard,
        RetryPacer retryPacer,
        GrowthMargin growthMargin,
        LatencyEstimator prefillExcess,
        LatencyEstimator firstEventDelay,
        PeerLoads peerLoads,
        LoadView loadView,
        DemandMeter demandMeter,
        ServingMetrics metrics,
        DecisionLog decisionLog,
        RandomGenerator random) {

    /**
     * Returns what callers ask of a service, as all routers measured it.
     *
     * @param service the service
     * @return the demand
     */
    Demand demandFor(String service) {
        return demandMeter.published(service).plus(peerLoads.demand(service));
    }
}
