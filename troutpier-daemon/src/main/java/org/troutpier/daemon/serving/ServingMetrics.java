package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.Locale;
import java.util.Set;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Metrics of requests by outcome, route, stage and upstream. Thread safe. Invariant: metrics of
 * upstreams that are no longer listed are removed, so their number stays bounded.
 */
public final class ServingMetrics {

    /** The prefix of the names of an upstream's metrics. */
    private static final String UPSTREAM = "upstream.";

    private final MetricRegistry mMetrics;

    /** Requests that have not ended. */
    private final Counter mOpenRequests;

    /** Requests that wait for a reservation at a decode engine. */
    private final Counter mWaitingRequests;

    /** Prefills whose time-out was extended because the load explains that they take longer. */
    private final Counter mExtendedTimeouts;

    private final Counter mExtraCallsMade;

    /** Calls beyond the first of a request that may have arrived at upstreams. */
    private final Counter mExtraCallsArrived;

    /** Extra calls that the budget did not allow. */
    private final Counter mExtraCallsDenied;

    /** Registers the metrics. */
    public ServingMetrics(MetricRegistry metrics) {
        mMetrics = metrics;
        mOpenRequests = metrics.counter("requests.open");
        mWaitingRequests = metrics.counter("places.waiting");
        mExtendedTimeouts = metrics.counter("prefill.timeouts.extended");
        mExtraCallsMade = metrics.counter("budget.extra.made");
        mExtraCallsArrived = metrics.counter("budget.extra.arrived");
        mExtraCallsDenied = metrics.counter("budget.extra.denied");
    }

    void requestStarted() {
        mOpenRequests.inc();
    }

    /**
     * Counts a request that has ended.
     *
     * @param route the name of the route
     * @param millis the duration of the request
     */
    void requestEnded(String route, String outcome, long millis) {
        mOpenRequests.dec();
        countOutcome(outcome);
        mMetrics.counter("requests.route." + route + "." + outcome).inc();
        mMetrics.histogram("requests.millis." + route).update(millis);
    }

    /** Counts an outcome; on its own for a request that ended before its route was known. */
    void countOutcome(String outcome) {
        mMetrics.counter("requests." + outcome).inc();
    }

    /** Records the duration of a stage of a request. */
    void recordStage(String stage, long millis) {
        mMetrics.histogram("stage.millis." + stage).update(millis);
    }

    /**
     * Records the absolute error of a prediction.
     *
     * @param quantity the predicted quantity
     * @param predictedMillis the prediction
     * @param millis the actual value
     */
    void recordPredictionError(String quantity, double predictedMillis, long millis) {
        long error = Math.round(Math.abs(predictedMillis - millis));
        mMetrics.histogram("prediction.error.millis." + quantity).update(error);
    }

    /** Counts a call that is sent to run a request. */
    void callSent(UpstreamId upstream) {
        count(upstream, "sent");
    }

    /**
     * Counts a call that an upstream answered successfully.
     *
     * @param millis the duration of the stage
     */
    void callSucceeded(UpstreamId upstream, String stage, long millis) {
        count(upstream, "succeeded");
        recordStage(stage, millis);
    }

    /** Counts a call that was not answered successfully. */
    void callFailed(UpstreamId upstream, AttemptEnd end) {
        if (end.neverReached()) {
            count(upstream, "unreached");
        } else {
            count(upstream, end.notStarted() ? "refused" : "failed");
        }
    }

    /** Counts a prefill that is given more time before its engine counts as silent. */
    void prefillTimeoutExtended() {
        mExtendedTimeouts.inc();
    }

    private void count(UpstreamId upstream, String event) {
        mMetrics.counter(UPSTREAM + upstream.value() + "." + event).inc();
    }

    /**
     * Counts an extra call that was requested.
     *
     * @param acquired whether the budget allowed it
     */
    void recordExtraCall(boolean acquired) {
        (acquired ? mExtraCallsMade : mExtraCallsDenied).inc();
    }

    /** Counts calls beyond the first of a request that has ended. */
    void recordExtraArrivals(int calls) {
        mExtraCallsArrived.inc(calls);
    }

    /**
     * Sets the gauges of this router's share of a service's budget of extra calls.
     *
     * @param usage what was used of it in the window that has just ended
     */
    void recordBudgetUsage(String service, ExtraCallBudget.Usage usage) {
        setGauge("budget." + service + ".requests", usage.requests());
        setGauge("budget." + service + ".used", usage.extraCalls());
        setGauge("budget." + service + ".allowed", (long) usage.allowed());
    }

    private void setGauge(String name, long value) {
        SettableGauge<Long> gauge = mMetrics.gauge(name);
        gauge.setValue(value);
    }

    /**
     * Counts a request that starts or ends to wait for a reservation.
     *
     * @param waiting whether it starts
     */
    void reservationWaitChanged(boolean waiting) {
        if (waiting) {
            mWaitingRequests.inc();
        } else {
            mWaitingRequests.dec();
        }
    }

    /** Counts a request that is refused at once because its predicted wait is too long. */
    void refusedAtOnce(QueueTier tier) {
        mMetrics.counter("refused.at.once." + tier.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts what became of a run whose engine was silent: "begun" when the silence limit has
     * passed, then "continued" by the engine, "replaced" or "ended".
     */
    void silentRun(String event) {
        mMetrics.counter("runs.silent." + event).inc();
    }

    /** Counts a search for memory that found no engine in time. */
    void searchRefused() {
        mMetrics.counter("places.refused").inc();
    }

    /**
     * Counts a run that was admitted by the forecast of its engine's growth.
     *
     * @param beyondMargin whether the fixed margin would not have admitted it
     */
    void admittedByForecast(boolean beyondMargin) {
        mMetrics.counter("growth.admitted").inc();
        if (beyondMargin) {
            mMetrics.counter("growth.admitted.beyond.margin").inc();
        }
    }

    /**
     * Records when a refused caller should retry.
     *
     * @param again whether the request had been refused before
     */
    void recordRetryDelay(boolean again, long millis) {
        mMetrics.counter(again ? "refused.again" : "refused.first").inc();
        mMetrics.histogram("retry.delay.millis").update(millis);
    }

    /** Removes the metrics of upstreams that are no longer listed. */
    public void retain(Set<UpstreamId> listed) {
        mMetrics.removeMatching(
                (name, metric) -> name.startsWith(UPSTREAM) && !listed.contains(id(name)));
    }

    private static UpstreamId id(String name) {
        return new UpstreamId(name.substring(UPSTREAM.length(), name.lastIndexOf('.')));
    }

    /**
     * Counts what became of a prefill whose engine was silent: "begun" when the silence limit has
     * passed, then "continued" by the engine, "replaced" or "ended".
     */
    void silentPrefill(String event) {
        mMetrics.counter("prefills.silent." + event).inc();
    }
}
