package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.daemon.serving.UpstreamRates;

/** Tests for the {@code rates} command. */
public final class RatesCommandTest {

    private RouterStandin mRouter;

    @BeforeMethod
    void start() {
        List<UpstreamRates.Status> rates =
                List.of(new UpstreamRates.Status("web-1", 3.6, 120, 4, 9, 31));
        mRouter =
                new RouterStandin(
                        exchange ->
                                exchange.answer(
                                        exchange.path().equals(UpstreamRates.PATH)
                                                ? HttpResponses.json(200, rates)
                                                : HttpResponses.json(404, List.of())));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mRouter.close();
    }

    @Test
    public void eachRouterShowsRateAgeAndUse() {
        String router = mRouter.address();
        CliRun run = CliRun.of("rates", "--router", router, "--token", "any");
        assertEquals(run.exit(), 0);
        String line = run.shown().lines().filter(each -> each.contains("web-1")).findFirst().get();
        assertTrue(line.matches(router + " +web-1 +3.6 +120 +4 +9 +31"), line);
    }
}
