package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import org.troutpier.daemon.rows.TableFollower.PollTiming;

/** Tests how often shared tables are read. */
public final class TablePollTimingsTest {

    @Test
    public void theConfigurationIsReadWithinItsAdoptionTime() {
        assertEquals(TablePollTimings.configuration(2000), new PollTiming(700, 0, 1100, 700));
    }

    @Test
    public void upstreamsAreReadWithinTheDrainTime() {
        assertEquals(TablePollTimings.upstreams(2000), new PollTiming(1, 700, 1050, 400));
    }
}
