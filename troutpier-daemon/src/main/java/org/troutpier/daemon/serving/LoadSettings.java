package org.troutpier.daemon.serving;

/**
 * Which of the decisions for overload are in effect. Each is off by default. Routers with different
 * settings can serve side by side. Immutable and thread safe.
 *
 * @param sharedOrder whether requests that wait for engine memory are ordered over all routers
 * @param orderedForecast whether a predicted wait counts only what is served before the request
 * @param growthForecast whether room for growth is predicted from the runs of each engine
 * @param plainQueue whether calls of plain services wait in a queue and under an adapted limit
 * @param pace whether work is placed by the measured pace of upstreams
 */
public record LoadSettings(
        boolean sharedOrder,
        boolean orderedForecast,
        boolean growthForecast,
        boolean plainQueue,
        boolean pace) {

    /** All off. */
    public static final LoadSettings DEFAULT = new LoadSettings(false, false, false, false, false);
}
