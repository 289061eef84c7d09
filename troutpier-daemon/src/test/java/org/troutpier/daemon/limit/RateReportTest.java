package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the combination of reports of several routers. */
public final class RateReportTest {

    private static final RateReport ONE =
            new RateReport(
                    new LastAnnouncedRate(3.6, 100), new RecentUsage(4, 1, 9), List.of(2L, 7L));
    private static final RateReport OTHER =
            new RateReport(LastAnnouncedRate.NEVER, new RecentUsage(1, 1, 1), List.of(1L));

    @Test
    public void usageAndDemandAddUpInAnyOrder() {
        RateReport both =
                new RateReport(
                        new LastAnnouncedRate(3.6, 100),
                        new RecentUsage(5, 2, 10),
                        List.of(3L, 7L));
        assertEquals(ONE.plus(OTHER), both);
        assertEquals(OTHER.plus(ONE), both);
        assertEquals(ONE.plus(RateReport.NONE), ONE);
    }

    @Test
    public void agingAReportAgesItsRate() {
        assertEquals(ONE.aged(400).named(), new LastAnnouncedRate(3.6, 500));
        assertEquals(OTHER.aged(400), OTHER);
    }

    @Test
    public void aReportWithoutRanksHasNoDemand() {
        assertEquals(
                new RateReport(LastAnnouncedRate.NEVER, RecentUsage.NONE, null), RateReport.NONE);
    }
}
