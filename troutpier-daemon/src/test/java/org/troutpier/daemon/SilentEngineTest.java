package org.troutpier.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.RouterTestRig.Outcome;
import org.troutpier.standins.fault.Fault;

/** End-to-end tests of completions whose engines are silent for a while or for good. */
public final class SilentEngineTest {

    /** Longer than any silence after which other engines are searched. */
    private static final int PAUSE_MILLIS = 5500;

    /** How long requests are delayed or dropped; later ones, as of a transfer, are not. */
    private static final int FAULT_MILLIS = 1000;

    /** Shorter than a call may take. */
    private static final int STOP_MILLIS = 2500;

    private RouterTestRig mRig;

    @AfterMethod(alwaysRun = true)
    public void close() {
        mRig.close();
    }

    private RouterTestRig rig(int prefills, int decodes) {
        mRig =
                new RouterTestRig()
                        .withEngines(prefills, decodes)
                        .withServices(1)
                        .withRouters(1)
                        .declared();
        return mRig;
    }

    private static void earnRetry(RouterTestRig rig) {
        for (int call = 0; call < 10; call++) {
            assertEquals(
                    rig.service(0, "machine-status", null, "/warm", "warm").get().mStatus, 200);
        }
    }

    private static int count(RouterTestRig rig, String what) {
        return rig.metrics(0).path("requests.association." + what).asInt();
    }

    @Test
    public void aPausingPrefillIsWaitedForWhereNoRetryIsLeft() {
        RouterTestRig rig = rig(2, 1);
        rig.mPrefills.forEach(
                one -> RouterTestRig.fault(one.server(), Fault.DELAY, FAULT_MILLIS, PAUSE_MILLIS));
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5).get();
        assertTrue(outcome.isComplete(), outcome.toString());
        assertEquals(count(rig, "silent"), 1);
        assertEquals(count(rig, "given-up"), 0);
    }

    @Test
    public void aPausingPrefillIsWaitedForWhereThereIsNoOtherEngine() {
        RouterTestRig rig = rig(1, 1);
        earnRetry(rig);
        RouterTestRig.fault(rig.mPrefills.get(0).server(), Fault.DELAY, FAULT_MILLIS, PAUSE_MILLIS);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5).get();
        assertTrue(outcome.isComplete(), outcome.toString());
        assertEquals(count(rig, "silent"), 1);
        assertEquals(count(rig, "given-up"), 0);
        assertEquals(count(rig, "retries"), 0);
        RouterTestRig.await(() -> rig.heldByAll() == 0, "nothing is held");
    }

    @Test
    public void aPrefillThatStaysSilentIsReplacedByAnotherEngine() {
        RouterTestRig rig = rig(2, 1);
        earnRetry(rig);
        rig.mPrefills.forEach(
                one -> RouterTestRig.fault(one.server(), Fault.HANG, FAULT_MILLIS, 0));
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5).get();
        assertTrue(outcome.isComplete(), outcome.toString());
        assertEquals(count(rig, "given-up"), 1);
        assertEquals(count(rig, "retries"), 1);
    }

    @Test
    public void aStopTellsWhatIsKnownOfRequestsThatOutlastIt() {
        mRig = new RouterTestRig();
        mRig.mDrainMillis = STOP_MILLIS;
        mRig.withEngines(1, 1).withServices(1).withRouters(1).declared();
        RouterTestRig.fault(mRig.mServices.get(0).server(), Fault.HANG, FAULT_MILLIS, 0);
        Outcome call = mRig.service(0, "machine-status", null, "/slow", "slow");
        RouterTestRig.await(
                () -> mRig.mRouters.get(0).requestsInProgress() == 1, "the call is in progress");
        mRig.mRouters.get(0).stop();
        assertEquals(call.get().mCode, "TP-201", call.toString());
    }
}
