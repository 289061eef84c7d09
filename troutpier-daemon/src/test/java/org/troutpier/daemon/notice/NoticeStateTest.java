package org.troutpier.daemon.notice;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsing of boolean headers. */
public final class NoticeStateTest {

    @DataProvider
    Object[][] values() {
        return new Object[][] {
            {NoticeState.ANNOUNCED, "1"},
            {NoticeState.ANNOUNCED, " 1 "},
            {NoticeState.ANNOUNCED, "true"},
            {NoticeState.ANNOUNCED, "TRUE"},
            {NoticeState.ANNOUNCED, "0", "1"},
            {NoticeState.ANNOUNCED, "0, 1"},
            {NoticeState.ANNOUNCED, "soon", "1"},
            {NoticeState.NONE, "0"},
            {NoticeState.NONE, "false"},
            {NoticeState.UNREADABLE, ""},
            {NoticeState.UNREADABLE, "2"},
            {NoticeState.UNREADABLE, "yes"},
            {NoticeState.UNREADABLE, "0", "soon"},
        };
    }

    @Test(dataProvider = "values")
    public void anyTrueValueIsAnAnnouncement(NoticeState expected, String... values) {
        assertEquals(NoticeState.parseFlag(Arrays.asList(values)), expected);
    }

    @Test
    public void aMissingHeaderIsNoAnnouncement() {
        assertEquals(NoticeState.parseFlag(List.of()), NoticeState.NONE);
    }
}
