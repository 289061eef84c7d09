package org.troutpier.testing;

import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Skips and prints exactly the failures of tests that are known to fail; a listed test that passes
 * fails, so that it is removed from the list together with the fix. Thread safe. TestNG loads it in
 * every module. A listed test must not have parameters, since each invocation would be evaluated
 * separately.
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
                KnownFailures.qualifiedName(
                        result.getTestClass().getName(), result.getMethod().getMethodName());
        mKnown.symptom(test).ifPresent(symptom -> applyExpectation(test, symptom, result));
    }

    private static void applyExpectation(String test, String symptom, ITestResult result) {
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("known to fail: " + test + ": " + symptom);
            result.setStatus(ITestResult.SKIP);
        } else if (result.getStatus() == ITestResult.SUCCESS) {
            result.setStatus(ITestResult.FAILURE);
            result.setThrowable(
                    new AssertionError(test + " passes; remove it from " + KnownFailures.FILE));
        }
    }
}
