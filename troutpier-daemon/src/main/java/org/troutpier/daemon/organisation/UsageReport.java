package org.troutpier.daemon.organisation;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.RecentUsage;

/**
 * What organisations with a limit used lately at one or several routers. Immutable and thread safe.
 * It travels with each report of load, so its fields go without their names.
 *
 * @param forgotten of how many routers nobody remembers what they used in the window, in routers
 *     times the part of the window
 * @param used what each organisation used lately
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UsageReport(double forgotten, Map<PartnerId, RecentUsage> used) {

    /** The report of no router. */
    public static final UsageReport NONE = new UsageReport(0, Map.of());

    /** Copies the map. */
    public UsageReport {
        used = Map.copyOf(used);
    }

    /**
     * Returns the use of these and other routers together.
     *
     * @param others the others' reports
     * @return a new report
     */
    public UsageReport plus(Iterable<UsageReport> others) {
        double routers = forgotten;
        Map<PartnerId, RecentUsage> sum = new HashMap<>(used);
        for (UsageReport other : others) {
            routers += other.forgotten;
            other.used.forEach((id, more) -> sum.merge(id, more, RecentUsage::plus));
        }
        return new UsageReport(routers, sum);
    }

    /**
     * Returns the report of routers whose earlier use somebody remembers.
     *
     * @return the same use, with nothing forgotten
     */
    public UsageReport withFullHistory() {
        return new UsageReport(0, used);
    }

    /**
     * Returns what still counts of the use of routers that use no more.
     *
     * @param passed how long ago that was, as a part of the window
     * @return a new report
     */
    public UsageReport after(double passed) {
        Map<PartnerId, RecentUsage> left = new HashMap<>();
        used.forEach((organisation, use) -> left.put(organisation, use.after(passed)));
        return new UsageReport(0, left);
    }
}
