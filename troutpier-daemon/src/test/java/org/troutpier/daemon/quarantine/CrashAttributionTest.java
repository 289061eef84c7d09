package org.troutpier.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;

/** Tests which requests are withheld for which crashes. */
public final class CrashAttributionTest {

    private static final CrashTrait FIRST = CrashTrait.ForPart.of("ab12");
    private static final CrashTrait GUILTY = CrashTrait.ForPart.of("dead01");
    private static final CrashTrait SHARED = CrashTrait.ForPart.of("50fa");
    private static final CrashTrait CONTENT = RequestFingerprint.of("h", "/1", new byte[0]);
    private static final CrashTrait OTHER = RequestFingerprint.of("h", "/2", new byte[0]);

    private Map<CrashTrait, CrashRecord> mRecords;

    @BeforeMethod
    void start() {
        mRecords = new HashMap<>();
    }

    private void crashes(CrashTrait trait, int... upstreams) {
        Set<UpstreamIncarnation> ended =
                IntStream.of(upstreams)
                        .mapToObj(number -> UpstreamIncarnation.of("upstream-" + number))
                        .collect(Collectors.toSet());
        mRecords.put(trait, new CrashRecord(0, ended));
    }

    private boolean isWithheld(CrashTrait... traits) {
        return CrashAttribution.of(mRecords, 3).reasonsToWithhold(List.of(traits)).size() > 0;
    }

    @Test
    public void requestsWithAPartThatExplainsThreeCrashesAreWithheld() {
        crashes(GUILTY, 1, 2, 3);
        assertTrue(isWithheld(FIRST, GUILTY, OTHER));
        assertFalse(isWithheld(FIRST, OTHER));
        crashes(GUILTY, 1, 2);
        assertFalse(isWithheld(FIRST, GUILTY, OTHER));
    }

    @Test
    public void partsLostInTheCrashesOfAnotherPartAreNotWithheld() {
        crashes(GUILTY, 1, 2, 3, 4);
        crashes(FIRST, 1, 2, 4);
        crashes(CONTENT, 2, 3, 4);
        assertFalse(isWithheld(FIRST, CONTENT));
        assertTrue(isWithheld(FIRST, GUILTY, OTHER));
    }

    @Test
    public void eachOfTwoPartsThatCrashDifferentUpstreamsIsWithheld() {
        crashes(GUILTY, 1, 2, 3, 4);
        crashes(SHARED, 4, 5, 6, 7);
        assertTrue(isWithheld(GUILTY));
        assertTrue(isWithheld(SHARED));
    }

    @Test
    public void partsWithTheSameCrashesAreWithheldTogetherAndRunApart() {
        crashes(FIRST, 1, 2, 3);
        crashes(GUILTY, 1, 2, 3);
        assertTrue(isWithheld(FIRST, GUILTY, OTHER));
        assertFalse(isWithheld(FIRST, OTHER));
        crashes(GUILTY, 1, 2, 3, 4);
        assertTrue(isWithheld(GUILTY, OTHER));
    }

    @Test
    public void aContentIsWithheldUnlessAnotherTraitExplainsAllItsCrashes() {
        crashes(CONTENT, 1, 2, 3);
        crashes(OTHER, 1, 2, 3);
        assertTrue(isWithheld(CONTENT));
        assertTrue(isWithheld(OTHER));
        crashes(GUILTY, 1, 2, 3, 4);
        assertFalse(isWithheld(CONTENT));
        crashes(CONTENT, 1, 2, 5);
        assertTrue(isWithheld(CONTENT));
    }

    @Test
    public void onlyIdsThatAreNoPlainTextAreHashed() {
        assertEquals(CrashTrait.ForPart.of("5c1e07a2").key(), "part:5c1e07a2");
        CrashTrait hashed = CrashTrait.ForPart.of("a b".repeat(90));
        assertTrue(hashed.key().startsWith("part:~"));
        assertEquals(CrashTrait.parse(hashed.key()), hashed);
        assertEquals(CrashTrait.parse(CONTENT.key()), CONTENT);
    }
}
