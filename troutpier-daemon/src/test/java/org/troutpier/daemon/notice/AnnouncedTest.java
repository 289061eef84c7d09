package org.troutpier.daemon.notice;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How a header is read that says its word by its presence. */
public final class AnnouncedTest {

    @DataProvider
    Object[][] values() {
        return new Object[][] {
            {Announced.NAMED, "1"},
            {Announced.NAMED, " 1 "},
            {Announced.NAMED, "true"},
            {Announced.NAMED, "TRUE"},
            {Announced.NAMED, "0", "1"},
            {Announced.NAMED, "0, 1"},
            {Announced.NAMED, "soon", "1"},
            {Announced.NONE, "0"},
            {Announced.NONE, "false"},
            {Announced.UNREADABLE, ""},
            {Announced.UNREADABLE, "2"},
            {Announced.UNREADABLE, "yes"},
            {Announced.UNREADABLE, "0", "soon"},
        };
    }

    @Test(dataProvider = "values")
    public void oneValueThatSaysTheWordIsEnough(Announced said, String... values) {
        assertEquals(Announced.flag(Arrays.asList(values)), said);
    }

    @Test
    public void aMissingHeaderDoesNotSayIt() {
        assertEquals(Announced.flag(List.of()), Announced.NONE);
    }
}
