package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests how the throughput of prefills is separated from the fixed time of a call. */
public final class PrefillLatencyModelTest {

    private static final String SERVICE = "notes";

    private static PrefillLatencyModel model(int fixedMillis, long... prompts) {
        DemandMeter meter = new DemandMeter();
        for (long prompt : prompts) {
            meter.recordPrefill(SERVICE, prompt, fixedMillis + prompt / 50, 1000);
        }
        meter.publish(1000);
        return meter.published(SERVICE).reading();
    }

    @Test
    public void theFixedTimeOfACallIsSeparated() {
        PrefillLatencyModel model = model(60, 2000, 3000, 4000, 6000, 5000, 2500);
        assertEquals(model.tokensPerMilli(), 50, 0.1);
        assertEquals(model.fixedMillis(), 60, 0.5);
        assertEquals(model.predictedMillis(10_000), 260, 1);
    }

    @Test
    public void uniformPromptsGiveOnlyTheMeanThroughput() {
        PrefillLatencyModel model = model(50, 5000, 5000, 5000, 5000, 5000, 5000);
        assertEquals(model.tokensPerMilli(), 5000 / 150.0, 0.1);
        assertEquals(model.fixedMillis(), 0, 0.1);
    }

    @Test
    public void fewSamplesGiveOnlyTheMeanThroughput() {
        assertEquals(model(50, 2000, 6000).tokensPerMilli(), 8000 / 260.0, 0.1);
        assertEquals(PrefillLatencyModel.NONE.tokensPerMilli(), 0.0);
        assertEquals(PrefillLatencyModel.NONE.predictedMillis(1000), 0.0);
    }
}
