package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.serving.UpstreamRates;
import org.troutpier.daemon.serving.UpstreamRatesHandler;

/** How operators look at the rates that upstreams name. */
public final class RatesCommandTest {

    private EventLoopGroup mLoop;
    private HttpServer mServer;

    @BeforeMethod
    void start() {
        mLoop = new NioEventLoopGroup(1);
        List<UpstreamRates.Standing> rates =
                List.of(new UpstreamRates.Standing("web-1", 3.6, 120, 4, 9, 31));
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoop,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        exchange ->
                                exchange.answer(
                                        exchange.path().equals(UpstreamRatesHandler.PATH)
                                                ? Answers.json(200, rates)
                                                : Answers.json(404, List.of())));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mServer.close();
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void eachRouterShowsRateAgeAndUse() {
        String router = mServer.address().toString();
        CliRun run = CliRun.of("rates", "--router", router, "--token", "any");
        assertEquals(run.exit(), 0);
        String line = run.shown().lines().filter(each -> each.contains("web-1")).findFirst().get();
        assertTrue(line.matches(router + " +web-1 +3.6 +120 +4 +9 +31"), line);
    }
}
