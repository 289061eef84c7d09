package org.troutpier.daemon.cluster;

import java.util.Map;
import org.troutpier.common.id.UpstreamId;

/**
 * What a router tells the others of itself. Immutable and thread safe.
 *
 * @param configuration the version of the configuration in force; -1 for none
 * @param roleHolder whether it decides engines' roles
 * @param uses what it has under way at each upstream
 * @param demands what callers asked of each model service lately
 */
public record LoadReport(
        long configuration,
        boolean roleHolder,
        Map<UpstreamId, UpstreamUse> uses,
        Map<String, Demand> demands) {

    /** Copies the maps. */
    public LoadReport {
        uses = Map.copyOf(uses);
        demands = Map.copyOf(demands);
    }
}
