package org.troutpier.daemon.serving;

import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;

/** Guards against predictions that refuse all requests, so that no measurement corrects them. */
public final class PrefillPredictionTest {

    private static final String SERVICE = "service";
    private static final int TOKENS = 1000;
    private static final int TARGET_MILLIS = 400;
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
            mContext.demandMeter().recordPrefill(SERVICE, TOKENS, SLOW_MILLIS, mTime.millis());
        }
        mContext.demandMeter().publish(mTime.millis());
    }

    private FakeCaller send(int number) {
        PromptMetadata.Part own = new PromptMetadata.Part("own" + number, TOKENS);
        ServingRequest request =
                new ServingRequest(
                        new RequestId("r" + number),
                        "POST",
                        "/" + number,
                        "h",
                        new DefaultHttpHeaders(),
                        new byte[0],
                        9000,
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.of(new PromptMetadata("m", TOKENS, 50, List.of(own))),
                        Optional.empty(),
                        new Requester.Unchecked());
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.STREAM,
                        5000,
                        TARGET_MILLIS,
                        300,
                        1,
                        1,
                        List.of(new Route.WeightedService(SERVICE, 1)),
                        false);
        FakeCaller caller = new FakeCaller();
        EngineTraits traits = new EngineTraits(10, 90_000, 4, 2000, 500, 100);
        new StreamExecution(mContext, request, route, SERVICE, traits, caller).begin();
        return caller;
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
            refused.add(send(step).mRefusal != null);
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
