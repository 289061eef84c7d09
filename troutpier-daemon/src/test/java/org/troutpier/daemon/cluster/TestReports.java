package org.troutpier.daemon.cluster;

import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.waiting.WaitingReport;

/** Creates load reports for tests. */
public final class TestReports {

    private TestReports() {}

    /** Returns the report of one router that has only usage of upstreams. */
    public static LoadReport ofUses(Map<UpstreamIncarnation, UpstreamUsage> uses) {
        return of(uses, WaitingReport.NONE);
    }

    /** Returns the report of one router that has only usage of upstreams and waiting requests. */
    public static LoadReport of(
            Map<UpstreamIncarnation, UpstreamUsage> uses, WaitingReport waiting) {
        return of(uses, waiting, RecentArrivals.NONE);
    }

    /** Returns the report of one router that has usage, waiting requests and recent arrivals. */
    public static LoadReport of(
            Map<UpstreamIncarnation, UpstreamUsage> uses,
            WaitingReport waiting,
            RecentArrivals arrivals) {
        return new LoadReport(
                1,
                1,
                false,
                0,
                Set.of(),
                Set.of(),
                uses,
                Map.of(),
                UsageReport.NONE,
                Map.of(),
                waiting,
                Map.of(),
                arrivals,
                0);
    }
}
