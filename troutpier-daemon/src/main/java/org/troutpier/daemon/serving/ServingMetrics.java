package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import org.troutpier.common.id.UpstreamId;

/**
 * Counts and measures what becomes of requests, by outcome, route, stage and upstream. Thread safe.
 * Invariant: figures of upstreams that are gone are dropped, so their number stays bounded.
 */
public final class ServingMetrics {

    /** What the names of an upstream's figures begin with. */
    private static final String UPSTREAM = "upstream.";

    /** Keeps the figures. */
    private final MetricRegistry mMetrics;

    /** Requests that have not ended. */
    private final Counter mOpenRequests;

    /** Requests that wait for a place at an engine. */
    private final Counter mWaitingRequests;

    /** Extra calls that were made. */
    private final Counter mExtraCallsMade;

    /** Extra calls that the budget did not allow. */
    private final Counter mExtraCallsDenied;

    /**
     * Registers the figures.
     *
     * @param metrics keeps them
     */
    public ServingMetrics(MetricRegistry metrics) {
        mMetrics = metrics;
        mOpenRequests = metrics.counter("requests.open");
        mWaitingRequests = metrics.counter("places.waiting");
        mExtraCallsMade = metrics.counter("budget.extra.made");
        mExtraCallsDenied = metrics.counter("budget.extra.denied");
    }

    /** Counts a request that begins. */
    void requestStarted() {
        mOpenRequests.inc();
    }

    /**
     * Counts a request that has ended.
     *
     * @param route its route
     * @param outcome how it ended
     * @param millis how long it took
     */
    void requestEnded(String route, String outcome, long millis) {
        mOpenRequests.dec();
        countOutcome(outcome);
        mMetrics.counter("requests.route." + route + "." + outcome).inc();
        mMetrics.histogram("requests.millis." + route).update(millis);
    }

    /**
     * Counts a request that ended before it had a route.
     *
     * @param outcome how it ended
     */
    void countOutcome(String outcome) {
        mMetrics.counter("requests." + outcome).inc();
    }

    /**
     * Measures a stage of a request.
     *
     * @param stage the stage
     * @param millis how long it took
     */
    void recordStage(String stage, long millis) {
        mMetrics.histogram("stage.millis." + stage).update(millis);
    }

    /**
     * Measures by how much a prediction was wrong.
     *
     * @param what what was predicted
     * @param predictedMillis the prediction
     * @param millis how long it took
     */
    void recordPredictionError(String what, double predictedMillis, long millis) {
        long error = Math.round(Math.abs(predictedMillis - millis));
        mMetrics.histogram("prediction.error.millis." + what).update(error);
    }

    /**
     * Counts a request that is sent to be run.
     *
     * @param upstream where to
     */
    void callSent(UpstreamId upstream) {
        count(upstream, "sent");
    }

    /**
     * Counts a call that an upstream answered well.
     *
     * @param upstream the upstream
     * @param stage the stage that is over
     * @param millis how long it took
     */
    void callSucceeded(UpstreamId upstream, String stage, long millis) {
        count(upstream, "succeeded");
        recordStage(stage, millis);
    }

    /**
     * Counts a call that was not answered well.
     *
     * @param upstream the upstream
     * @param notStarted whether it is proved that the upstream did not start it
     */
    void callFailed(UpstreamId upstream, boolean notStarted) {
        count(upstream, notStarted ? "refused" : "failed");
    }

    /**
     * Counts what happened between this router and an upstream.
     *
     * @param upstream the upstream
     * @param event what happened
     */
    private void count(UpstreamId upstream, String event) {
        mMetrics.counter(UPSTREAM + upstream.value() + "." + event).inc();
    }

    /**
     * Counts an extra call that was wanted.
     *
     * @param made whether the budget allowed it
     */
    void recordExtraCall(boolean made) {
        (made ? mExtraCallsMade : mExtraCallsDenied).inc();
    }

    /**
     * Counts a request that begins or ends to wait for a place.
     *
     * @param waits whether it begins
     */
    void reservationWaitChanged(boolean waits) {
        if (waits) {
            mWaitingRequests.inc();
        } else {
            mWaitingRequests.dec();
        }
    }

    /**
     * Drops the figures of upstreams that are no longer listed.
     *
     * @param listed the ids that are listed
     */
    public void retain(Set<UpstreamId> listed) {
        mMetrics.removeMatching(
                (name, metric) -> name.startsWith(UPSTREAM) && !listed.contains(id(name)));
    }

    /**
     * Returns the upstream that a figure belongs to.
     *
     * @param name the figure's name
     * @return the id
     */
    private static UpstreamId id(String name) {
        return new UpstreamId(name.substring(UPSTREAM.length(), name.lastIndexOf('.')));
    }
}
