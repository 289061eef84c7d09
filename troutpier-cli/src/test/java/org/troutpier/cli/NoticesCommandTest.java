package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.daemon.serving.UpstreamNotices;

/** Tests for the {@code notices} command. */
public final class NoticesCommandTest {

    private RouterStandin mRouter;

    @BeforeMethod
    void start() {
        List<UpstreamNotices.Status> notices =
                List.of(new UpstreamNotices.Status("web-1", true, 1200, 4, 31));
        mRouter =
                new RouterStandin(
                        exchange ->
                                exchange.answer(
                                        exchange.path().equals(UpstreamNotices.PATH)
                                                ? HttpResponses.json(200, notices)
                                                : HttpResponses.json(404, List.of())));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mRouter.close();
    }

    @Test
    public void eachRouterShowsWhatUpstreamsSaid() {
        String router = mRouter.address();
        CliRun run = CliRun.of("notices", "--router", router, "--token", "any");
        assertEquals(run.exit(), 0);
        String line = run.shown().lines().filter(each -> each.contains("web-1")).findFirst().get();
        assertTrue(line.matches(router + " +web-1 +true +1200 +4 +31"), line);
    }
}
