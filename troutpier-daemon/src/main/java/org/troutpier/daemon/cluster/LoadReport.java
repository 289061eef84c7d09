package org.troutpier.daemon.cluster;

import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamId;

/**
 * What a router tells the others of itself. Immutable and thread safe.
 *
 * @param configuration the version of the configuration in force; -1 for none
 * @param roleHolder whether it decides engines' roles
 * @param changing the engines that change their role by its order
 * @param uses what it has under way at each upstream
 * @param demands what callers asked of each model service lately
 */
public record LoadReport(
        long configuration,
        boolean roleHolder,
        Set<UpstreamId> changing,
        Map<UpstreamId, UpstreamUse> uses,
        Map<String, Demand> demands) {

    /** Copies the maps. */
    public LoadReport {
        changing = Set.copyOf(changing);
        uses = Map.copyOf(uses);
        demands = Map.copyOf(demands);
    }
}
