package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;

/** Tests the count of recent requests by flow. */
public final class ArrivalMeterTest {

    private static final PartnerId COAST = new PartnerId("coast");
    private static final PartnerId INLAND = new PartnerId("inland");

    @Test
    public void flowsAreCountedSeparatelyAndExpire() {
        ArrivalMeter meter = new ArrivalMeter(1000);
        long now = 100_000;
        meter.record(new FlowKey(2, COAST), now);
        meter.record(new FlowKey(2, COAST), now);
        meter.record(new FlowKey(2, INLAND), now);
        meter.record(new FlowKey(0, INLAND), now);
        assertEquals(meter.byRank(now), List.of(1L, 0L, 3L));
        assertEquals(meter.byOrganisation(2, now), Map.of(COAST, 2.0, INLAND, 1.0));
        assertEquals(meter.byOrganisation(0, now), Map.of(INLAND, 1.0));
        assertEquals(meter.byRank(now + 2000), List.of());
        meter.record(new FlowKey(1, COAST), now + 2000);
        assertEquals(meter.byOrganisation(2, now + 2000), Map.of());
    }

    @Test
    public void ranksOutsideTheRangeAreClamped() {
        assertEquals(new FlowKey(-3, COAST).rank(), 0);
        assertEquals(new FlowKey(1000, COAST).rank(), FlowKey.LEAST_URGENT_RANK);
    }
}
