package org.troutpier.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;

/** Tests when requests are quarantined, and for how long. */
public final class QuarantineTest {

    private static final QuarantineSettings SETTINGS = new QuarantineSettings(3, 60, 3000, "");

    private static final int ROUTERS = 100;

    /** How soon all routers know of a crash, milliseconds. */
    private static final int KNOWN_AFTER_MILLIS = 300;

    private static final int LONG_MILLIS = 300_000;

    private long mNow;
    private List<CrashReport> mReports;
    private Quarantine mQuarantine;

    @BeforeMethod
    void start() {
        mNow = 0;
        mReports = new ArrayList<>();
        mQuarantine = quarantine();
        mQuarantine.onLocalChange(mReports::add);
    }

    private Quarantine quarantine() {
        return new Quarantine(SETTINGS, () -> mNow, new MetricRegistry());
    }

    private static RequestFingerprint request(int number) {
        return RequestFingerprint.of("host", "/" + number, new byte[0]);
    }

    private static UpstreamIncarnation upstream(int number) {
        return UpstreamIncarnation.of("upstream-" + number);
    }

    private void crash(int request, int... upstreams) {
        for (int upstream : upstreams) {
            mQuarantine.recordCrash(List.of(request(request)), upstream(upstream));
        }
    }

    @Test
    public void theThirdCrashQuarantinesARequest() {
        assertTrue(mQuarantine.isEmpty());
        crash(1, 1, 2, 2);
        assertFalse(mQuarantine.isQuarantined(request(1)));
        crash(1, 3);
        assertTrue(mQuarantine.isQuarantined(request(1)));
        assertFalse(mQuarantine.isQuarantined(request(2)));
        assertEquals(mReports.size(), 3);
    }

    @Test
    public void crashesSeenByDifferentRoutersAddUp() {
        crash(1, 1);
        Quarantine other = quarantine();
        other.recordCrash(List.of(request(1)), upstream(2));
        other.onLocalChange(mQuarantine::merge);
        other.recordCrash(List.of(request(1)), upstream(3));
        assertTrue(mQuarantine.isQuarantined(request(1)));
    }

    @Test
    public void aCompletedRequestIsClearedAtAllRouters() {
        crash(1, 1, 2);
        Quarantine other = quarantine();
        mReports.forEach(other::merge);
        mQuarantine.recordCompletion(request(1));
        other.merge(mReports.get(mReports.size() - 1));
        other.recordCrash(List.of(request(1)), upstream(3));
        crash(1, 3);
        assertEquals(other.records().get(request(1)).ended(), Set.of(upstream(3)));
        assertEquals(mQuarantine.records(), other.records());
    }

    @Test
    public void completingAnUnknownRequestReportsNothing() {
        crash(1, 1);
        mReports.clear();
        mQuarantine.recordCompletion(request(2));
        assertEquals(mReports, List.of());
    }

    @Test
    public void anOperatorClearsByTheLoggedName() {
        crash(1, 1, 2, 3);
        assertEquals(mQuarantine.clear(""), 0);
        assertEquals(mQuarantine.clear(request(1).shortName().substring(1)), 0);
        assertEquals(mQuarantine.clear(request(1).shortName().substring(0, 4)), 0);
        assertEquals(mQuarantine.clear("no such name"), 0);
        assertEquals(mQuarantine.clear(request(1).shortName()), 1);
        assertFalse(mQuarantine.isQuarantined(request(1)));
        assertEquals(mReports.get(mReports.size() - 1).record().ended(), Set.of());
    }

    @Test
    public void quarantineExpires() {
        crash(1, 1, 2, 3);
        mNow = 60_000;
        assertTrue(mQuarantine.isQuarantined(request(1)));
        mNow++;
        assertFalse(mQuarantine.isQuarantined(request(1)));
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void manySuspectsEvictTheOldestButNoQuarantinedRequest() {
        crash(1, 1, 2, 3);
        for (int request = 2; request < 10_000; request++) {
            crash(request, request);
        }
        assertTrue(mQuarantine.isQuarantined(request(1)));
        assertTrue(mQuarantine.records().size() < 3000);
        assertFalse(mQuarantine.records().containsKey(request(2)));
        assertTrue(mQuarantine.records().containsKey(request(9999)));
        assertTrue(mQuarantine.mightContain(request(1).coarseHash()));
        assertTrue(mQuarantine.mightContain(request(9999).coarseHash()));
        assertFalse(mQuarantine.mightContain(request(2).coarseHash()));
    }

    @Test
    public void quarantinedRequestsAreBounded() {
        for (int request = 0; request < 1000; request++) {
            crash(request, 1, 2, 3);
        }
        assertEquals(mQuarantine.records().size(), Quarantine.MAX_CANDIDATES);
        assertTrue(mQuarantine.isQuarantined(request(999)));
    }

    @Test
    public void removedRequestsAreForgotten() {
        crash(1, 1, 2, 3);
        mQuarantine.remove(request(1));
        assertTrue(mQuarantine.isEmpty());
    }

    private static CrashTrait.ForPart part(String id) {
        return CrashTrait.ForPart.of(id);
    }

    private Optional<Withholding> withhold(String... parts) {
        return mQuarantine.withhold(
                "service", Stream.of(parts).map(QuarantineTest::part).toList(), new TrialPermit());
    }

    private boolean isWithheld(String... parts) {
        return withhold(parts).isPresent();
    }

    @Test
    public void aPartOfACompletedRequestIsNotSuspectedForSomeTime() {
        mQuarantine.recordSound(part("sound"));
        for (int number = 1; number <= 3; number++) {
            mQuarantine.recordCrash(List.of(part("sound"), part("guilty")), upstream(number));
        }
        assertEquals(mQuarantine.crashCount(part("sound")), 0);
        assertTrue(isWithheld("sound", "guilty"));
        assertFalse(isWithheld("sound"));
        mNow += QuarantineSettings.SOUND_RETENTION_MILLIS + 1;
        mQuarantine.recordCrash(List.of(part("sound")), upstream(4));
        assertEquals(mQuarantine.crashCount(part("sound")), 1);
    }

    @Test
    public void aSoundPartThatAnotherRouterSuspectsIsClearedThere() {
        Quarantine other = quarantine();
        other.onLocalChange(mQuarantine::merge);
        other.recordCrash(List.of(part("sound")), upstream(1));
        other.recordCrash(List.of(part("sound")), upstream(2));
        other.recordCrash(List.of(part("sound")), upstream(3));
        assertTrue(other.isQuarantined(part("sound")));
        mQuarantine.recordSound(part("sound"));
        mReports.forEach(other::merge);
        assertFalse(other.isQuarantined(part("sound")));
    }

    private void crashUnderPart(String id, int... upstreams) {
        for (int upstream : upstreams) {
            mQuarantine.recordCrash(List.of(part(id)), upstream(upstream));
        }
    }

    @Test
    public void aServiceIsNotRefusedForLongForAPartThatAllItsPromptsShare() {
        crashUnderPart("common", 1, 2, 3);
        assertTrue(withhold("common").orElseThrow().provisional());
        int run = 0;
        while (run == 0 && mNow < 5000) {
            mNow += 10;
            run += isWithheld("common") ? 0 : 1;
        }
        assertEquals(run, 1);
        assertTrue(isWithheld("common"));
        mQuarantine.recordSound(part("common"));
        assertFalse(isWithheld("common"));
        assertEquals(mReports.get(mReports.size() - 1).record().ended(), Set.of());
    }

    @Test
    public void aPartIsNotTriedWhileOtherRequestsOfTheServiceAreCompleted() {
        crashUnderPart("guilty", 1, 2, 3);
        for (; mNow < 50_000; mNow += 100) {
            mQuarantine.recordServed("service");
            assertFalse(withhold("guilty").orElseThrow().provisional());
        }
    }

    /** Verifies the sum of all routers: at most three requests after the fifth crash. */
    @Test
    public void aPartThatCrashesEachUpstreamIsTriedByFewOfManyRouters() {
        RandomGenerator random = new SplittableRandom(7);
        List<Quarantine> routers = new ArrayList<>();
        for (int router = 0; router < ROUTERS; router++) {
            RouterShare share = new RouterShare.ForManyRouters(() -> 1.0 / ROUTERS, random);
            routers.add(
                    new Quarantine(
                            QuarantineSettings.DEFAULT, () -> mNow, share, new MetricRegistry()));
        }
        List<Long> crashes = new ArrayList<>(List.of(0L, 0L, 0L));
        int known = 0;
        int sentAfterFifth = 0;
        for (; mNow < LONG_MILLIS; mNow += 100) {
            for (; known < crashes.size() && crashes.get(known) <= mNow; known++) {
                UpstreamIncarnation upstream = upstream(known);
                routers.forEach(each -> each.recordCrash(List.of(part("guilty")), upstream));
            }
            for (Quarantine router : routers) {
                List<CrashTrait> traits = List.of(part("guilty"));
                if (router.withhold("service", traits, new TrialPermit()).isEmpty()) {
                    crashes.add(mNow + KNOWN_AFTER_MILLIS);
                    sentAfterFifth += known >= 5 ? 1 : 0;
                }
            }
        }
        assertTrue(known > 5, "the part was not tried again: " + known);
        assertTrue(sentAfterFifth <= 3, "sent after the fifth crash: " + sentAfterFifth);
    }
}
