package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.daemon.pace.PaceEstimate;

/** Tests for the {@code paces} command. */
public final class PacesCommandTest {

    private RouterStandin mRouter;

    @BeforeMethod
    void start() {
        List<PaceEstimate.Status> paces =
                List.of(new PaceEstimate.Status("web-1", "PLAIN", 4.8, 2.5, 31, 7));
        mRouter =
                new RouterStandin(
                        exchange ->
                                exchange.answer(
                                        exchange.path().equals(PaceEstimate.PATH)
                                                ? HttpResponses.json(200, paces)
                                                : HttpResponses.json(404, List.of())));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mRouter.close();
    }

    @Test
    public void eachRouterShowsPaceAndWhatWasPassedOver() {
        String router = mRouter.address();
        CliRun run = CliRun.of("paces", "--router", router, "--token", "any");
        assertEquals(run.exit(), 0);
        String line = run.shown().lines().filter(each -> each.contains("web-1")).findFirst().get();
        assertTrue(line.matches(router + " +web-1 +PLAIN +4.8 +2.5 +31.0 +7"), line);
    }
}
