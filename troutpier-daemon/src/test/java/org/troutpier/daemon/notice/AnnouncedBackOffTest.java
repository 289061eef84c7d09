package org.troutpier.daemon.notice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Instant;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsing of back-offs. */
public final class AnnouncedBackOffTest {

    private static final Instant NOW = Instant.parse("2031-05-06T07:08:09Z");

    @DataProvider
    Object[][] backOffs() {
        return new Object[][] {
            {3000L, "3"},
            {2500L, " 2.5 "},
            {1L, "0.001"},
            {999999999999000L, "999999999999"},
            {4000L, "2", "4"},
            {4000L, "4, 2"},
            {2000L, "soon", "2"},
            {61000L, "Tue, 6 May 2031 07:09:10 GMT"},
            {61000L, "Tue, 06 May 2031 07:09:10 GMT"},
            {5000L, "5", "Tue, 06 May 2031 07:08:10 GMT"},
        };
    }

    @DataProvider
    Object[][] none() {
        return new Object[][] {{"0"}, {"0.0"}, {"Tue, 06 May 2031 07:00:00 GMT"}};
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {
            {""}, {"-1"}, {"NaN"}, {"1e3"}, {"9999999999999"}, {"soon"}, {"Tue, 06 May 2031"}
        };
    }

    private static AnnouncedBackOff parse(String... values) {
        return AnnouncedBackOff.parse(Arrays.asList(values), NOW);
    }

    @Test(dataProvider = "backOffs")
    public void theLongestOfSeveralSecondsAndDatesApplies(long millis, String... values) {
        assertEquals(parse(values), AnnouncedBackOff.of(millis));
    }

    @Test(dataProvider = "none")
    public void zeroAndPastDatesRequestNoBackOff(String value) {
        assertEquals(parse(value), AnnouncedBackOff.NONE);
    }

    @Test(dataProvider = "unreadable")
    public void anythingElseIsUnreadable(String value) {
        assertEquals(parse(value), AnnouncedBackOff.UNREADABLE);
    }

    @Test
    public void aResponseWithoutTheHeaderRequestsNoBackOff() {
        assertEquals(parse(), AnnouncedBackOff.NONE);
    }

    @Test
    public void aNegativeBackOffIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> AnnouncedBackOff.of(-1));
    }
}
