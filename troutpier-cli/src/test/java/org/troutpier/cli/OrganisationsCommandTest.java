package org.troutpier.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.organisation.PeerUsage;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.UsageLimit;

/** Tests for the {@code organisations} command. */
public final class OrganisationsCommandTest {

    private static final String KEY = "a-callers-key";

    private RouterStandin mRouter;
    private long mNow;

    @BeforeMethod
    void start() {
        PeerUsage nobody =
                new PeerUsage() {
                    @Override
                    public UsageReport organisations() {
                        return UsageReport.NONE;
                    }

                    @Override
                    public int peerCount() {
                        return 0;
                    }
                };
        OrganisationLimiter use =
                new OrganisationLimiter(
                        new UsageSettings(10, 0, 0),
                        () -> mNow,
                        new Random(1),
                        nobody,
                        () -> 1,
                        new MetricRegistry());
        Organisation coast =
                new Organisation(
                        new PartnerId("coast"),
                        Set.of(KeyHash.of(KEY)),
                        OptionalInt.empty(),
                        new UsageLimit(UsageLimit.Unit.TOKENS, 0, 1, 90));
        use.applyConfiguration(
                new RoutingConfiguration(
                        1,
                        List.of(),
                        List.of(),
                        List.of(coast),
                        ServerLimits.DEFAULT,
                        new byte[0]));
        mNow = 20_000;
        use.admit(coast, 60);
        use.admit(coast, 4000);
        mRouter =
                new RouterStandin(
                        exchange -> exchange.answer(HttpResponses.json(200, use.statuses())));
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mRouter.close();
    }

    @Test
    public void eachRouterShowsUseLimitRefusalsAndNoKey() {
        String router = mRouter.address();
        CliRun run = CliRun.of("organisations", "--router", router, "--token", "any");
        assertEquals(run.exit(), 0);
        String line = run.shown().lines().filter(each -> each.contains("coast")).findFirst().get();
        assertTrue(line.startsWith(router), line);
        assertTrue(line.matches(".*coast +tokens +100 +100 +60 +0 +1 +[0-9a-f]{8}"), line);
        assertFalse(run.shown().contains(KEY), run.shown());
    }
}
