package org.troutpier.daemon.serving;

import java.util.random.RandomGenerator;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.cluster.LoadView;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.decision.GrowthMargin;
import org.troutpier.daemon.decision.LatencyEstimator;
import org.troutpier.daemon.decision.PredictionCheck;
import org.troutpier.daemon.decision.RetryPacer;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.plain.PlainCalls;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.waiting.ReturnSchedule;

/**
 * The shared collaborators of all executions. Immutable; confined to the traffic loop, as are the
 * components.
 *
 * @param loop the traffic loop
 * @param port sends calls to upstreams
 * @param directory the known upstreams
 * @param loads what is in progress at each upstream
 * @param admission admits calls to upstreams by their announcements
 * @param extraCallBudget limits extra calls
 * @param reservations reserves slots and memory at decode engines
 * @param organisationLimiter enforces the limits of organisations
 * @param recentRefusals the requests that were refused recently
 * @param crashGuard withholds requests that have crashed several upstreams
 * @param origins records and finds the origins of streams
 * @param retryPacer determines when refused callers should retry
 * @param returnSchedule the return times given to refused callers, in view of all routers
 * @param growthMargin how much memory stays free for the growth of running requests
 * @param prefillExcess by how much prefills take longer than predicted
 * @param prefillCheck when prompts that are predicted to be late are processed
 * @param firstEventDelay how long runs take to their first event
 * @param peerLoads the reports of the other routers
 * @param loadView provides the current load of the other routers before decisions
 * @param demandMeter measures the demand for model services
 * @param metrics the metrics of requests
 * @param decisionLog logs decisions about requests
 * @param plainCalls places calls to plain services
 * @param stopDeadline by when a router that stops has sent its last refusals
 * @param load which of the decisions for overload are in effect
 * @param random selects among weighted services
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
        StreamOrigins origins,
        RetryPacer retryPacer,
        ReturnSchedule returnSchedule,
        GrowthMargin growthMargin,
        LatencyEstimator prefillExcess,
        PredictionCheck prefillCheck,
        LatencyEstimator firstEventDelay,
        PeerLoads peerLoads,
        LoadView loadView,
        DemandMeter demandMeter,
        ServingMetrics metrics,
        DecisionLog decisionLog,
        PlainCalls plainCalls,
        StopDeadline stopDeadline,
        LoadSettings load,
        RandomGenerator random) {

    /** Returns the demand for a service, as measured by all routers. */
    Demand demandFor(String service) {
        return demandMeter.published(service).plus(peerLoads.demand(service));
    }
}
