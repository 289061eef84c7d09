package org.troutpier.testing;

import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Passes over exactly the tests that are known to fail and prints them; one that passes though it
 * is listed fails, so that it is taken off the list with the mend. Thread safe. The test framework
 * loads it in every module. A listed test takes no parameters, since each call would be judged for
 * itself.
 */
public final class KnownFailureListener implements IInvokedMethodListener {

    /** The tests that are known to fail. */
    private final KnownFailures mKnown;

    /** Creates a listener for the list of the repository that is being built. */
    public KnownFailureListener() {
        this(KnownFailures.forRepository());
    }

    /**
     * Creates a listener.
     *
     * @param known the tests that are known to fail
     */
    KnownFailureListener(KnownFailures known) {
        mKnown = known;
    }

    /** {@inheritDoc} */
    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        if (!method.isTestMethod()) {
            return;
        }
        String test =
                KnownFailures.name(
                        result.getTestClass().getName(), result.getMethod().getMethodName());
        mKnown.symptom(test).ifPresent(seen -> judge(test, seen, result));
    }

    /**
     * Judges a listed test.
     *
     * @param test its name
     * @param seen what was seen of its failure
     * @param result how it ended
     */
    private static void judge(String test, String seen, ITestResult result) {
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("known to fail: " + test + ": " + seen);
            result.setStatus(ITestResult.SKIP);
        } else if (result.getStatus() == ITestResult.SUCCESS) {
            result.setStatus(ITestResult.FAILURE);
            result.setThrowable(
                    new AssertionError(test + " passes; take it off " + KnownFailures.FILE));
        }
    }
}
