package org.troutpier.daemon.serving;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;

/** Guards against predictions that refuse all requests, so that no measurement corrects them. */
public final class PrefillPredictionTest {

    private static final String SERVICE = "service";
    private static final int SLOW_MILLIS = 2000;
    private static final int FAST_MILLIS = 30;
    private static final int STEP_MILLIS = 50;
    private static final int LENGTH_MILLIS = 20_000;

    /** Two times the {@code contact} of the requirement. */
    private static final int SOON_MILLIS = 6000;

    private final UpstreamEntry mEngine = TestUpstreams.prefill("p");
    private ManualClock mTime;
    private FakePort mPort;
    private ServingContext mContext;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mPort = new FakePort();
        TestContext setup = new TestContext(mTime);
        setup.mPort = mPort;
        setup.mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        setup.mDirectory.replaceAll(List.of(mEngine, TestUpstreams.decode("a")));
        mContext = setup.build();
        for (int prefill = 0; prefill < 10; prefill++) {
            mContext.demandMeter()
                    .recordPrefill(SERVICE, TestStreams.TOKENS, SLOW_MILLIS, mTime.millis());
        }
        mContext.demandMeter().publish(mTime.millis());
    }

    /**
     * Sends one request each step to an engine that takes a time for each prompt.
     *
     * @return whether each request was refused
     */
    private List<Boolean> play(int prefillMillis) {
        List<Boolean> refused = new ArrayList<>();
        int answered = 0;
        long busySince = 0;
        for (int step = 0; step < LENGTH_MILLIS / STEP_MILLIS; step++) {
            refused.add(TestStreams.start(mContext, SERVICE, "r" + step).mRefusal != null);
            assertTrue(mPort.mPrefills.size() <= answered + 1, "prompts wait at the engine");
            if (mPort.mPrefills.size() == answered) {
                busySince = mTime.millis();
            } else if (mTime.millis() - busySince + STEP_MILLIS >= prefillMillis) {
                mTime.advance(Math.min(prefillMillis, STEP_MILLIS));
                mPort.mPrefills
                        .get(answered++)
                        .onResult(new UpstreamPort.StoredPrompt(mEngine, "handle" + step));
                busySince = mTime.millis();
            }
            mTime.advance(STEP_MILLIS);
            mContext.demandMeter().publish(mTime.millis());
        }
        return refused;
    }

    @Test
    public void streamsAreServedAgainSoonAfterPrefillsThatWereSlowForMoments() {
        List<Boolean> refused = play(FAST_MILLIS);
        assertTrue(refused.lastIndexOf(true) < SOON_MILLIS / STEP_MILLIS);
    }

    @Test
    public void anEngineThatStaysSlowReadsOnePromptAtATimeToCheckThePrediction() {
        List<Boolean> refused = play(SLOW_MILLIS);
        long admitted = refused.stream().filter(each -> !each).count();
        assertTrue(admitted > 0 && admitted <= LENGTH_MILLIS / SLOW_MILLIS, "admitted " + admitted);
    }
}
