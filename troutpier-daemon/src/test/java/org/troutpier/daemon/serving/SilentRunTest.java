package org.troutpier.daemon.serving;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;

/** Resumable streams whose engine pauses during the run, or never goes on. */
public final class SilentRunTest {

    private static final int TIMEOUT_MILLIS = 14_000;

    /** A caller gives a stream up after four times the target without an event. */
    private static final int TARGET_MILLIS = 900;

    /** What there is besides the engine of the first run. */
    private enum Other {
        NO_ENGINE,
        FULL_ENGINE,
        NO_EXTRA_CALL,
        ENGINE_THAT_REFUSES_THE_RUN,
        ENGINE_WITH_ROOM
    }

    /** Returns the caller after a stream whose first run pauses. */
    private static FakeCaller stream(
            Other other, PausingEngines.Pause pause, long pauseMillis, long untilMillis) {
        ManualClock time = new ManualClock();
        PausingEngines port = new PausingEngines(time, pause, pauseMillis);
        port.mRefusesFurtherRuns = other == Other.ENGINE_THAT_REFUSES_THE_RUN;
        TestContext setup = new TestContext(time);
        setup.mPort = port;
        setup.mDirectory = new UpstreamDirectory(time.control(), time::millis);
        ServingContext context = setup.build();
        context.extraCallBudget().setLimits(0, other == Other.NO_EXTRA_CALL ? 0 : 10);
        UpstreamEntry second = TestUpstreams.decode("b");
        if (other == Other.FULL_ENGINE) {
            port.mFullEngines.add(second.incarnation());
        }
        setup.mDirectory.replaceAll(
                other == Other.NO_ENGINE
                        ? List.of(TestUpstreams.decode("a"))
                        : List.of(TestUpstreams.decode("a"), second));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.RESUMABLE_STREAM,
                        TIMEOUT_MILLIS,
                        TARGET_MILLIS,
                        300,
                        1,
                        2,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        PromptMetadata prompt =
                new PromptMetadata("m", 1000, 500, List.of(new PromptMetadata.Part("own", 1000)));
        FakeCaller caller = new FakeCaller();
        new StreamExecution(
                        context,
                        TestRequests.of("abc", "/x", new byte[0], Optional.of(prompt)),
                        route,
                        "service",
                        Optional.of(new EngineTraits(10, 90_000, 4, 2000, 500, 100)),
                        caller)
                .begin();
        time.advance(untilMillis);
        return caller;
    }

    private static List<String> broken(Other other, long pauseMillis, long untilMillis) {
        List<String> broken = new ArrayList<>();
        for (PausingEngines.Pause pause : PausingEngines.Pause.values()) {
            FakeCaller caller = stream(other, pause, pauseMillis, untilMillis);
            if (!caller.mEnded || !caller.text().equals(PausingEngines.WHOLE)) {
                String end = caller.mAborted ? "cut" : String.valueOf(caller.mRefusal);
                broken.add(other + " " + pause + " " + pauseMillis + " ms: " + end);
            }
        }
        return broken;
    }

    @Test
    public void anAnswerIsNotCutWhileItsEnginePauses() {
        List<String> broken = new ArrayList<>();
        for (Other other : Other.values()) {
            for (long pauseMillis : new long[] {1300, 1800, 3000}) {
                broken.addAll(broken(other, pauseMillis, TIMEOUT_MILLIS - 1000));
            }
        }
        assertTrue(broken.isEmpty(), broken.toString());
    }

    @Test
    public void aStreamWhoseEngineNeverGoesOnIsResumedBeforeItsCallerGivesUp() {
        List<String> broken = broken(Other.ENGINE_WITH_ROOM, TIMEOUT_MILLIS, 4 * TARGET_MILLIS);
        assertTrue(broken.isEmpty(), broken.toString());
    }
}
