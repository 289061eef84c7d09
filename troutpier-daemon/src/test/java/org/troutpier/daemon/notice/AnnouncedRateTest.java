package org.troutpier.daemon.notice;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsing of announced rates. */
public final class AnnouncedRateTest {

    @DataProvider
    Object[][] rates() {
        return new Object[][] {
            {3.6, "3.6"},
            {0.0, "0"},
            {0.25, " 0.25 "},
            {12.0, "12.000"},
            {999999999999.0, "999999999999"},
            {2.0, "4", "2"},
            {2.0, "2, 4"},
            {2.0, "none", "2"},
        };
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {
            {""},
            {" "},
            {"-1"},
            {"+1"},
            {"NaN"},
            {"Infinity"},
            {"1e3"},
            {"0x1p3"},
            {".5"},
            {"5."},
            {"1 2"},
            {"3d"},
            {"9999999999999"},
            {"1.0000000000001"},
            {"٣"},
            {","},
        };
    }

    private static AnnouncedRate parse(String... values) {
        return AnnouncedRate.parse(Arrays.asList(values));
    }

    @Test(dataProvider = "rates")
    public void theLowestOfSeveralDecimalNumbersApplies(double rate, String... values) {
        assertEquals(parse(values), AnnouncedRate.of(rate));
    }

    @Test(dataProvider = "unreadable")
    public void anythingElseIsUnreadable(String value) {
        assertEquals(parse(value), AnnouncedRate.UNREADABLE);
    }

    @Test
    public void aResponseWithoutTheHeaderAnnouncesNoRate() {
        assertEquals(AnnouncedRate.parse(List.of()), AnnouncedRate.NONE);
    }

    @Test
    public void negativeAndInfiniteRatesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> AnnouncedRate.of(-1));
        assertThrows(IllegalArgumentException.class, () -> AnnouncedRate.of(Double.NaN));
        assertThrows(
                IllegalArgumentException.class, () -> AnnouncedRate.of(Double.POSITIVE_INFINITY));
    }
}
