package org.troutpier.standins.engine;

/**
 * What a decode engine costs: one step gives each running request a token, and a step takes longer
 * the more requests run. Immutable and thread safe.
 *
 * @param slots how many requests are held at once
 * @param stepMicros what a step costs with nothing to run, microseconds
 * @param perRequestMicros what each running request adds to a step, microseconds
 * @param loadLagMillis how late the load is published, milliseconds
 * @param noticesClose whether a closed connection ends its request
 */
public record DecodeModel(
        int slots, int stepMicros, int perRequestMicros, int loadLagMillis, boolean noticesClose) {

    /** A model of a mid-sized engine. */
    public static final DecodeModel DEFAULT = new DecodeModel(20, 15_000, 750, 250, false);
}
