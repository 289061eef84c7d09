package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.Test;

/** Tests what routers tell each other of the growth of their runs. */
public final class GrowthReportTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    public void reportsOfOlderRoutersHaveNoCorrection() throws Exception {
        assertEquals(
                MAPPER.readValue("[3, 21000, 1, 9]", UpstreamUsage.class),
                new UpstreamUsage(3, 21_000, 1, 9, 0));
        UpstreamUsage current = new UpstreamUsage(2, 10_000, 0, 4, -1500);
        assertEquals(
                MAPPER.readValue(MAPPER.writeValueAsString(current), UpstreamUsage.class), current);
    }

    @Test
    public void outputsAreAddedUpOverRouters() throws Exception {
        DemandMeter meter = new DemandMeter();
        meter.recordRequest("model", 5000, 1000);
        assertNull(meter.publish(1000).get("model").outputs());
        meter.recordOutput("model", 4000, 0, 1000);
        meter.recordOutput("model", 2000, 4000, 1000);
        Demand told = meter.publish(1000).get("model");
        Demand received = MAPPER.readValue(MAPPER.writeValueAsString(told), Demand.class);
        Demand sum = received.plus(Demand.NONE).plus(told);
        assertEquals(sum.outputSample().runs(), 4.0);
        assertEquals(sum.outputSample().meanTokens(), 3000.0);
        assertEquals(sum.outputSample().meanSquare(), 10e6);
        assertEquals(sum.outputSample().hintedRuns(), 2.0);
        assertEquals(sum.outputSample().hintError(), Math.log(2) * Math.log(2), 1e-9);
    }
}
