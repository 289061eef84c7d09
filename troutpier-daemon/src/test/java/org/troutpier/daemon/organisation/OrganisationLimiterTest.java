package org.troutpier.daemon.organisation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.KeyHash;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.UsageLimit;

/** Tests what one router admits, given its own usage and the reports of its peers. */
public final class OrganisationLimiterTest {

    private static final PartnerId COAST = new PartnerId("coast");
    private static final UsageSettings SETTINGS = new UsageSettings(10, 0, 0);
    private static final long WINDOW = 10_000;

    private long mNow;
    private int mPeerCount;
    private int mKnownRouters;
    private UsageReport mPeerUsage;
    private MetricRegistry mMetrics;
    private OrganisationLimiter mLimiter;
    private Organisation mCoast;

    @BeforeMethod
    void start() {
        mNow = 50_000;
        mPeerCount = 0;
        mKnownRouters = 1;
        mPeerUsage = UsageReport.NONE;
        mMetrics = new MetricRegistry();
        startRouter();
        mNow += WINDOW;
        limit(1, 10);
    }

    /** Replaces the limiter by that of a router that starts now. */
    private void startRouter() {
        PeerUsage peers =
                new PeerUsage() {
                    @Override
                    public UsageReport organisations() {
                        return mPeerUsage;
                    }

                    @Override
                    public int peerCount() {
                        return mPeerCount;
                    }
                };
        mLimiter =
                new OrganisationLimiter(
                        SETTINGS, () -> mNow, new Random(1), peers, () -> mKnownRouters, mMetrics);
    }

    /**
     * Sets a limit of ten seconds at a rate, nearly all of it as burst, so that it may be used at
     * once.
     */
    private void limit(long version, double perSecond) {
        limit(version, perSecond / 1000, perSecond * 9.99);
    }

    private void limit(long version, double perSecond, double burst) {
        UsageLimit limit = new UsageLimit(UsageLimit.Unit.TOKENS, 0, perSecond, burst);
        mCoast = new Organisation(COAST, Set.of(KeyHash.of("key")), OptionalInt.empty(), limit);
        mLimiter.applyConfiguration(configuration(version, List.of(mCoast)));
    }

    private static RoutingConfiguration configuration(
            long version, List<Organisation> organisations) {
        return new RoutingConfiguration(
                version, List.of(), List.of(), organisations, ServerLimits.DEFAULT, new byte[0]);
    }

    private boolean admit(double cost) {
        return mLimiter.admit(mCoast, cost).isEmpty();
    }

    private double admittedOf(int requests, double cost) {
        double used = 0;
        for (int request = 0; request < requests; request++) {
            used += admit(cost) ? cost : 0;
        }
        return used;
    }

    @Test
    public void usageOfOtherRoutersReducesTheHeadroom() {
        mPeerUsage = new UsageReport(0, Map.of(COAST, new RecentUsage(70, 0, 0)));
        assertEquals(admittedOf(20, 10), 30.0);
        mNow += 2 * WINDOW;
        assertEquals(admittedOf(20, 10), 30.0);
    }

    @Test
    public void refundedUsageIsAvailableAgain() {
        long at = mNow;
        assertEquals(admittedOf(20, 10), 100.0);
        assertFalse(admit(10));
        mLimiter.refund(mCoast, 20, at);
        assertTrue(admit(10));
    }

    @Test
    public void aRejectionContainsTheRetryDelay() {
        admittedOf(20, 10);
        OrganisationLimiter.Refusal refusal = mLimiter.admit(mCoast, 20).get();
        assertTrue(refusal.returnMillis() / 10 == 200, "return " + refusal.returnMillis());
        assertTrue(refusal.detail().contains("coast"), refusal.detail());
        assertEquals(mMetrics.counter("organisation.coast.refused").getCount(), 11);
    }

    @Test
    public void anIsolatedRouterUsesAShareOfLessThanARequest() {
        mKnownRouters = 60;
        double used = 0;
        for (int window = 0; window < 600; window++) {
            used += admittedOf(5, 20);
            mNow += 2 * WINDOW;
        }
        double each = used / 600;
        assertTrue(each > 1.0 && each < 20.0, "a window " + each);
    }

    @Test
    public void aStartingRouterAssumesUsageBeforeItsStart() {
        limit(2, 10, 0);
        mPeerUsage = new UsageReport(1, Map.of());
        mPeerCount = 1;
        mKnownRouters = 2;
        assertEquals(mLimiter.statuses().get(0).most(), 50);
        mPeerUsage = new UsageReport(2, Map.of());
        assertFalse(admit(10));
        limit(3, 8, 20);
        mPeerUsage = new UsageReport(1, Map.of());
        assertEquals(mLimiter.statuses().get(0).most(), 35);
        mPeerUsage = new UsageReport(0.25, Map.of());
        assertEquals(mLimiter.statuses().get(0).most(), 78);
    }

    @Test
    public void demandSoonAfterTheStartIsExtrapolated() {
        startRouter();
        limit(1, 10);
        assertFalse(admit(10));
        assertEquals(reportedDemand(), 125);
        mNow += WINDOW / 40;
        assertEquals(reportedDemand(), 100);
        mNow += WINDOW / 20;
        assertFalse(admit(20));
        assertEquals(reportedDemand(), 100);
        mNow += WINDOW * 7 / 40;
        assertEquals(reportedDemand(), 30);
    }

    private long reportedDemand() {
        return mLimiter.report().used().get(COAST).asked();
    }

    @Test
    public void aFloodDoesNotUseTheLimitOfAWindowAtOnce() {
        limit(2, 10, 0);
        assertEquals(admittedOf(50, 5), 25.0);
        mNow += WINDOW / 8;
        assertEquals(admittedOf(50, 5), 0.0);
        mNow += WINDOW / 4;
        assertEquals(admittedOf(50, 5), 25.0);
    }

    @Test
    public void aReductionOfTheLimitTakesOneWindow() {
        assertEquals(admittedOf(20, 10), 100.0);
        limit(2, 5);
        assertFalse(admit(10));
        mNow += WINDOW / 2;
        assertEquals(mLimiter.statuses().get(0).most(), 75);
        mNow += WINDOW / 2;
        assertEquals(mLimiter.statuses().get(0).most(), 50);
        limit(3, 20);
        assertEquals(mLimiter.statuses().get(0).most(), 200);
    }

    @Test
    public void metricsOfARemovedOrganisationAreRemoved() {
        admit(10);
        assertEquals(mMetrics.counter("organisation.coast.used").getCount(), 10);
        mLimiter.applyConfiguration(configuration(2, List.of()));
        assertFalse(mMetrics.getCounters().containsKey("organisation.coast.used"));
        assertTrue(mLimiter.statuses().isEmpty());
    }

    @Test
    public void usageOfSilentRoutersExpires() {
        assertEquals(new RecentUsage(8, 4, 2).after(0.125), new RecentUsage(7, 2, 1));
        assertEquals(new RecentUsage(8, 4, 2).after(1), RecentUsage.NONE);
    }

    @Test
    public void onlyUsageUnderALimitIsReported() {
        assertEquals(mLimiter.report(), UsageReport.NONE);
        admit(10);
        assertEquals(
                mLimiter.report(), new UsageReport(0, Map.of(COAST, new RecentUsage(10, 10, 10))));
        limit(2, 0);
        assertEquals(admittedOf(50, 10), 500.0);
        assertEquals(mLimiter.report(), UsageReport.NONE);
    }
}
