package org.troutpier.daemon.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Retries of refused requests are recognised. */
public final class RecentRefusalsTest {

    @Test
    public void refusedRequestIsRecognisedForALimitedTime() {
        RecentRefusals refusals = new RecentRefusals();
        PromptMetadata prompt =
                new PromptMetadata(
                        "m",
                        300,
                        10,
                        List.of(
                                new PromptMetadata.Part("shared", 100),
                                new PromptMetadata.Part("own", 200)));
        assertFalse(refusals.isReturning(prompt, 1000));
        refusals.recordRefusal(prompt, 1000);
        assertTrue(refusals.isReturning(prompt, 5000));
        assertFalse(refusals.isReturning(prompt, 60_000));
    }

    @Test
    public void peerRefusalsAreRecognisedAndExpire() {
        RecentRefusals refusals = new RecentRefusals();
        PromptMetadata prompt =
                new PromptMetadata("m", 300, 10, List.of(new PromptMetadata.Part("own", 300)));
        refusals.recordPeerRefusal("own", 1000);
        assertTrue(refusals.isReturning(prompt, 1001));
        for (int other = 0; other < 100; other++) {
            refusals.recordPeerRefusal("other" + other, 20_000);
        }
        assertFalse(refusals.isReturning(prompt, 20_000));
    }
}
