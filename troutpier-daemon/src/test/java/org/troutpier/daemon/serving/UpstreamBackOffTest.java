package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the back-off of an upstream and the ramp-up after it. */
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
        mBackOff.extend(MILLIS, 100, mRandom);
        assertFalse(mBackOff.admits(0, 100));
        assertFalse(mBackOff.admits(0, MILLIS + 99));
        assertTrue(mBackOff.admits(0, mBackOff.endsAt()));
        assertEquals(mBackOff.withheld(), 2);
    }

    @Test
    public void aLaterAndShorterBackOffDoesNotShortenIt() {
        mBackOff.extend(MILLIS, 0, mRandom);
        mBackOff.extend(1, 10, mRandom);
        assertFalse(mBackOff.admits(0, MILLIS - 1));
    }

    @Test
    public void afterItsEndConcurrencyStartsAtOneAndDoublesWithEachSuccess() {
        mBackOff.extend(MILLIS, 0, mRandom);
        long end = mBackOff.endsAt();
        assertTrue(mBackOff.admits(0, end));
        assertFalse(mBackOff.admits(1, end));
        mBackOff.recordSuccess(end - 1);
        assertFalse(mBackOff.admits(1, end), "that call was sent before the end");
        mBackOff.recordSuccess(end);
        assertTrue(mBackOff.admits(1, end));
        assertFalse(mBackOff.admits(2, end));
        mBackOff.recordSuccess(end);
        assertTrue(mBackOff.admits(3, end));
        assertTrue(mBackOff.admits(1000, end + UpstreamBackOff.RAMP_UP_MILLIS));
    }

    @Test
    public void routersThatWereAskedTogetherDoNotReturnTogether() {
        long ends =
                IntStream.range(0, 20)
                        .mapToLong(
                                router -> {
                                    UpstreamBackOff backOff = new UpstreamBackOff();
                                    backOff.extend(MILLIS, 0, mRandom);
                                    return backOff.endsAt();
                                })
                        .distinct()
                        .count();
        assertTrue(ends > 10, "distinct ends " + ends);
    }
}
