package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How an upstream that asked for a back-off is left alone and returned to. */
public final class UpstreamBackOffTest {

    private static final int MILLIS = 3000;

    private UpstreamBackOff mBackOff;
    private Random mRandom;

    @BeforeMethod
    void start() {
        mBackOff = new UpstreamBackOff();
        mRandom = new Random(1);
    }

    @Test
    public void noCallIsAdmittedUntilItsEnd() {
        assertTrue(mBackOff.admits(5, 0));
        mBackOff.asked(MILLIS, 100, mRandom);
        assertFalse(mBackOff.admits(0, 100));
        assertFalse(mBackOff.admits(0, MILLIS + 99));
        assertTrue(mBackOff.admits(0, mBackOff.endsAt()));
        assertEquals(mBackOff.withheld(), 2);
    }

    @Test
    public void aShorterOneThatIsAskedForLaterDoesNotShortenIt() {
        mBackOff.asked(MILLIS, 0, mRandom);
        mBackOff.asked(1, 10, mRandom);
        assertFalse(mBackOff.admits(0, MILLIS - 1));
    }

    @Test
    public void afterItCallsAreAdmittedOneAtATimeAndTwiceAsManyWithEachSuccess() {
        mBackOff.asked(MILLIS, 0, mRandom);
        long end = mBackOff.endsAt();
        assertTrue(mBackOff.admits(0, end));
        assertFalse(mBackOff.admits(1, end));
        mBackOff.succeeded(end - 1);
        assertFalse(mBackOff.admits(1, end), "that call was sent before the end");
        mBackOff.succeeded(end);
        assertTrue(mBackOff.admits(1, end));
        assertFalse(mBackOff.admits(2, end));
        mBackOff.succeeded(end);
        assertTrue(mBackOff.admits(3, end));
        assertTrue(mBackOff.admits(1000, end + UpstreamBackOff.RETURN_MILLIS));
    }

    @Test
    public void routersThatWereAskedTogetherDoNotReturnTogether() {
        long ends =
                IntStream.range(0, 20)
                        .mapToLong(
                                router -> {
                                    UpstreamBackOff backOff = new UpstreamBackOff();
                                    backOff.asked(MILLIS, 0, mRandom);
                                    return backOff.endsAt();
                                })
                        .distinct()
                        .count();
        assertTrue(ends > 10, "distinct ends " + ends);
    }
}
