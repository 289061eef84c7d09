package org.troutpier.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.testng.ITestListener;
import org.testng.ITestResult;
import org.testng.TestNG;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the build skips exactly the failures that are known. */
public final class KnownFailuresTest {

    private static final String REST = " | mvn verify | it fails | issue 1";
    private static final String SAMPLE = KnownFailuresTest.class.getName() + "$Sample#";

    private static KnownFailures known(String... tests) {
        return new KnownFailures(Arrays.stream(tests).map(test -> test + REST).toList());
    }

    /** Run by a separate TestNG instance only, not as a test of this module. */
    static final class Sample {

        @Test
        public void fails() {
            throw new AssertionError("as written");
        }

        @Test
        public void passes() {}
    }

    /** Counts test results. */
    private static final class Tally implements ITestListener {

        private int mPassed;
        private int mFailed;
        private int mSkipped;

        @Override
        public void onTestSuccess(ITestResult result) {
            mPassed++;
        }

        @Override
        public void onTestFailure(ITestResult result) {
            mFailed++;
        }

        @Override
        public void onTestSkipped(ITestResult result) {
            mSkipped++;
        }
    }

    private static List<Integer> run(KnownFailures known) {
        Tally tally = new Tally();
        TestNG framework = new TestNG(false);
        framework.setTestClasses(new Class<?>[] {Sample.class});
        framework.addListener(new KnownFailureListener(known));
        framework.addListener(tally);
        framework.run();
        return List.of(tally.mPassed, tally.mFailed, tally.mSkipped);
    }

    @Test
    public void aTestThatIsNotListedFails() {
        assertEquals(run(known()), List.of(1, 1, 0));
    }

    @Test
    public void aListedTestThatFailsIsPassedOver() {
        assertEquals(run(known(SAMPLE + "fails")), List.of(1, 0, 1));
    }

    @Test
    public void aListedTestThatPassesFails() {
        assertEquals(run(known(SAMPLE + "passes")), List.of(0, 2, 0));
    }

    @Test
    public void whatWasSeenIsTold() {
        assertEquals(known("a.B#c").symptom("a.B#c"), Optional.of("it fails"));
        assertEquals(known("a.B#c").symptom("a.B#d"), Optional.empty());
    }

    @Test
    public void linesThatListNothingAreLeftOut() {
        assertEquals(
                new KnownFailures(List.of("", "# a remark", "a.B#c" + REST)).symptom("a.B#c"),
                Optional.of("it fails"));
    }

    @DataProvider
    public static Object[][] refused() {
        return new Object[][] {
            {List.of("a.B#c")},
            {List.of("a.B" + REST)},
            {List.of("a.B#c | mvn verify | it fails")},
            {List.of("a.B#c" + REST, "a.B#c" + REST)},
            {List.of("a.B#c" + REST, "a.B#d" + REST, "a.B#e" + REST, "a.B#f" + REST)},
        };
    }

    @Test(dataProvider = "refused")
    public void aListThatIsNotCompleteIsRefused(List<String> lines) {
        assertThrows(IllegalArgumentException.class, () -> new KnownFailures(lines));
    }

    @Test
    public void everyListedTestIsThere() throws IOException {
        assertEquals(
                KnownFailures.forRepository().missingTests(KnownFailures.root()),
                List.of(),
                "lines of " + KnownFailures.FILE + " that name no test");
    }

    @Test
    public void aLineThatNamesNoTestIsFound() throws IOException {
        String here = KnownFailuresTest.class.getName() + "#";
        KnownFailures known = known(here + "whatWasSeenIsTold", here + "nothing", "a.B#c");
        assertEquals(known.missingTests(KnownFailures.root()), List.of("a.B#c", here + "nothing"));
    }
}
