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

/** What one router admits, by what it counts and receives. */
public final class OrganisationLimiterTest {

    private static final PartnerId COAST = new PartnerId("coast");
    private static final UsageSettings SETTINGS = new UsageSettings(10, 0, 0);
    private static final long WINDOW = 10_000;

    private long mNow;
    private int mHeard;
    private int mKnown;
    private UsageReport mElsewhere;
    private MetricRegistry mMetrics;
    private OrganisationLimiter mUse;
    private Organisation mCoast;

    @BeforeMethod
    void start() {
        mNow = 50_000;
        mHeard = 0;
        mKnown = 1;
        mElsewhere = UsageReport.NONE;
        mMetrics = new MetricRegistry();
        PeerUsage others =
                new PeerUsage() {
                    @Override
                    public UsageReport organisations() {
                        return mElsewhere;
                    }

                    @Override
                    public int peerCount() {
                        return mHeard;
                    }
                };
        mUse =
                new OrganisationLimiter(
                        SETTINGS, () -> mNow, new Random(1), others, () -> mKnown, mMetrics);
        mNow += WINDOW;
        limit(1, 10);
    }

    /** Sets a limit of ten seconds' worth, all of which may be used at once. */
    private void limit(long version, double perSecond) {
        limit(version, perSecond / 1000, perSecond * 9.99);
    }

    private void limit(long version, double perSecond, double burst) {
        UsageLimit limit = new UsageLimit(UsageLimit.Unit.TOKENS, 0, perSecond, burst);
        mCoast = new Organisation(COAST, Set.of(KeyHash.of("key")), OptionalInt.empty(), limit);
        mUse.applyConfiguration(configuration(version, List.of(mCoast)));
    }

    private static RoutingConfiguration configuration(
            long version, List<Organisation> organisations) {
        return new RoutingConfiguration(
                version, List.of(), List.of(), organisations, ServerLimits.DEFAULT, new byte[0]);
    }

    private boolean letIn(double cost) {
        return mUse.admit(mCoast, cost).isEmpty();
    }

    private double letInOf(int requests, double cost) {
        double used = 0;
        for (int request = 0; request < requests; request++) {
            used += letIn(cost) ? cost : 0;
        }
        return used;
    }

    @Test
    public void whatTheOthersUsedLeavesThatMuchLess() {
        mElsewhere = new UsageReport(0, Map.of(COAST, new RecentUsage(70, 0, 0)));
        assertEquals(letInOf(20, 10), 30.0);
        mNow += 2 * WINDOW;
        assertEquals(letInOf(20, 10), 30.0);
    }

    @Test
    public void whatIsGivenBackMayBeUsedAgain() {
        long at = mNow;
        assertEquals(letInOf(20, 10), 100.0);
        assertFalse(letIn(10));
        mUse.refund(mCoast, 20, at);
        assertTrue(letIn(10));
    }

    @Test
    public void aRefusalTellsWhenThereIsRoom() {
        letInOf(20, 10);
        OrganisationLimiter.Refusal refusal = mUse.admit(mCoast, 20).get();
        assertTrue(refusal.returnMillis() / 10 == 200, "return " + refusal.returnMillis());
        assertTrue(refusal.detail().contains("coast"), refusal.detail());
        assertEquals(mMetrics.counter("organisation.coast.refused").getCount(), 11);
    }

    @Test
    public void aRouterThatHearsNobodyUsesItsPartAlsoWhereThatIsLessThanARequest() {
        mKnown = 60;
        double used = 0;
        for (int window = 0; window < 600; window++) {
            used += letInOf(5, 20);
            mNow += 2 * WINDOW;
        }
        double each = used / 600;
        assertTrue(each > 1.0 && each < 20.0, "a window " + each);
    }

    @Test
    public void aRouterThatStartsTakesTheWindowBeforeAsUsed() {
        limit(2, 10, 0);
        mElsewhere = new UsageReport(1, Map.of());
        mHeard = 1;
        mKnown = 2;
        assertEquals(mUse.statuses().get(0).most(), 50);
        mElsewhere = new UsageReport(2, Map.of());
        assertFalse(letIn(10));
        limit(3, 8, 20);
        mElsewhere = new UsageReport(1, Map.of());
        assertEquals(mUse.statuses().get(0).most(), 35);
        mElsewhere = new UsageReport(0.25, Map.of());
        assertEquals(mUse.statuses().get(0).most(), 78);
    }

    @Test
    public void aFloodIsPacedSoThatAWindowsLimitIsNotUsedAtOnce() {
        limit(2, 10, 0);
        assertEquals(letInOf(50, 5), 25.0);
        mNow += WINDOW / 8;
        assertEquals(letInOf(50, 5), 0.0);
        mNow += WINDOW / 4;
        assertEquals(letInOf(50, 5), 25.0);
    }

    @Test
    public void ofALoweredLimitTheDifferenceGoesWithinAWindow() {
        assertEquals(letInOf(20, 10), 100.0);
        limit(2, 5);
        assertFalse(letIn(10));
        mNow += WINDOW / 2;
        assertEquals(mUse.statuses().get(0).most(), 75);
        mNow += WINDOW / 2;
        assertEquals(mUse.statuses().get(0).most(), 50);
        limit(3, 20);
        assertEquals(mUse.statuses().get(0).most(), 200);
    }

    @Test
    public void anOrganisationThatIsGoneLeavesNoFigures() {
        letIn(10);
        assertEquals(mMetrics.counter("organisation.coast.used").getCount(), 10);
        mUse.applyConfiguration(configuration(2, List.of()));
        assertFalse(mMetrics.getCounters().containsKey("organisation.coast.used"));
        assertTrue(mUse.statuses().isEmpty());
    }

    @Test
    public void useThatNobodyTellsOfAnyMoreFades() {
        assertEquals(new RecentUsage(8, 4, 2).after(0.125), new RecentUsage(7, 2, 1));
        assertEquals(new RecentUsage(8, 4, 2).after(1), RecentUsage.NONE);
    }

    @Test
    public void onlyUseAgainstALimitIsTold() {
        assertEquals(mUse.report(), UsageReport.NONE);
        letIn(10);
        assertEquals(mUse.report(), new UsageReport(0, Map.of(COAST, new RecentUsage(10, 10, 10))));
        limit(2, 0);
        assertEquals(letInOf(50, 10), 500.0);
        assertEquals(mUse.report(), UsageReport.NONE);
    }
}
