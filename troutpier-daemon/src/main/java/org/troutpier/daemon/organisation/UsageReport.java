package org.troutpier.daemon.organisation;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.RecentUsage;

/**
 * The recent usage of limited organisations at one or several routers. Serialized as an array
 * without field names, since every load report contains it. Immutable and thread safe.
 *
 * @param forgotten the sum, over routers without a record of their usage before they started, of
 *     the fraction of the window that lies before their start
 * @param used the recent usage by organisation
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UsageReport(double forgotten, Map<PartnerId, RecentUsage> used) {

    /** The report of no router. */
    public static final UsageReport NONE = new UsageReport(0, Map.of());

    /** Copies the map. */
    public UsageReport {
        used = Map.copyOf(used);
    }

    /** Combines this report with those of other routers. */
    public UsageReport plus(Iterable<UsageReport> others) {
        double routers = forgotten;
        Map<PartnerId, RecentUsage> sum = new HashMap<>(used);
        for (UsageReport other : others) {
            routers += other.forgotten;
            other.used.forEach((id, usage) -> sum.merge(id, usage, RecentUsage::plus));
        }
        return new UsageReport(routers, sum);
    }

    /** Returns this usage for routers whose earlier usage another router has a record of. */
    public UsageReport withFullHistory() {
        return new UsageReport(0, used);
    }

    /**
     * Returns the part of this usage that still counts for routers without further usage.
     *
     * @param passed the time that has passed as a fraction of the window
     */
    public UsageReport after(double passed) {
        Map<PartnerId, RecentUsage> remaining = new HashMap<>();
        used.forEach((organisation, usage) -> remaining.put(organisation, usage.after(passed)));
        return new UsageReport(0, remaining);
    }
}
