package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualTime;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/** Which lost calls are held against what was asked for. */
public final class CrashGuardTest {

    private static final RequestFingerprint ONE = RequestFingerprint.of("h", "/1", new byte[0]);
    private static final RequestFingerprint TWO = RequestFingerprint.of("h", "/2", new byte[0]);

    private final UpstreamEntry mUpstream = TestUpstreams.decode("a");
    private ManualTime mTime;
    private UpstreamDirectory mDirectory;
    private Quarantine mQuarantine;
    private CrashGuard mGuard;
    private List<Boolean> mJudged;

    /** The checks that are not answered yet. */
    private List<Consumer<UpstreamPort.ProbeResult>> mAsked;

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        mDirectory.replaceAll(List.of(mUpstream));
        MetricRegistry metrics = new MetricRegistry();
        mQuarantine = new Quarantine(QuarantineSettings.DEFAULT, mTime::millis, metrics);
        mAsked = new ArrayList<>();
        mJudged = new ArrayList<>();
        FakePort port = new FakePort();
        port.mOnCheck = mAsked::add;
        mGuard = new CrashGuard(mTime.loop(), port, mDirectory, mQuarantine, metrics);
    }

    private void lost(RequestFingerprint request) {
        mGuard.attributeLoss(mUpstream, request, mJudged::add);
    }

    private void answer(UpstreamPort.ProbeResult listening) {
        mAsked.remove(0).accept(listening);
    }

    private int held(RequestFingerprint request) {
        return Optional.ofNullable(mQuarantine.records().get(request))
                .map(record -> record.ended().size())
                .orElse(0);
    }

    @Test
    public void anEndIsHeldAgainstAllThatWasLostWithIt() {
        lost(ONE);
        lost(TWO);
        assertEquals(mAsked.size(), 1);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        assertEquals(mJudged, List.of());
        mTime.pass(CrashGuard.SETTLED_MILLIS);
        assertEquals(mJudged, List.of(true, true));
        assertEquals(held(ONE), 1);
        assertEquals(held(TWO), 1);
    }

    @Test
    public void whatIsToldLaterIsHeldAgainstItWithoutAskingAgain() {
        lost(ONE);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        lost(TWO);
        assertEquals(mAsked.size(), 0);
        assertEquals(held(TWO), 1);
        mTime.pass(CrashGuard.JUDGED_MILLIS);
        assertEquals(mJudged, List.of(true, true));
    }

    @Test
    public void aLostAnswerOfAnUpstreamThatListensIsNobodysGuilt() {
        lost(ONE);
        answer(UpstreamPort.ProbeResult.LISTENING);
        assertEquals(mJudged, List.of(false));
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void anAnswerFromBeforeALossSaysNothingOfIt() {
        lost(ONE);
        lost(TWO);
        answer(UpstreamPort.ProbeResult.LISTENING);
        assertEquals(mJudged, List.of(false));
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        mTime.pass(CrashGuard.JUDGED_MILLIS);
        assertEquals(mJudged, List.of(false, true));
        assertEquals(held(ONE), 0);
        assertEquals(held(TWO), 1);
    }

    @Test
    public void aSilentMachineOrPathIsNobodysGuiltAndHoldsNobodyUp() {
        lost(ONE);
        mTime.pass(CrashGuard.JUDGED_MILLIS);
        assertEquals(mJudged, List.of(false));
        answer(UpstreamPort.ProbeResult.UNKNOWN);
        assertEquals(mJudged, List.of(false));
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void anEndThatIsKnownLateIsStillHeldAgainstIt() {
        lost(ONE);
        mTime.pass(CrashGuard.JUDGED_MILLIS);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        assertEquals(mJudged, List.of(false));
        assertEquals(held(ONE), 1);
    }

    @Test
    public void aPlannedEndIsNobodysGuilt() {
        mDirectory.update(mUpstream.id(), Optional.empty());
        lost(ONE);
        assertEquals(mJudged, List.of(false));
        assertEquals(mAsked.size(), 0);
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void anUpstreamThatIsBackAlreadyUnderItsIdHasEnded() {
        UpstreamEntry first = TestUpstreams.startedAt(mUpstream, 1);
        mDirectory.replaceAll(List.of(first));
        mGuard.attributeLoss(first, ONE, mJudged::add);
        mDirectory.replaceAll(List.of(TestUpstreams.startedAt(mUpstream, 2)));
        answer(UpstreamPort.ProbeResult.LISTENING);
        mTime.pass(CrashGuard.JUDGED_MILLIS);
        assertEquals(mJudged, List.of(true));
        assertEquals(held(ONE), 1);
    }

    private static LazyFingerprint content(String target, byte[] body) {
        return new LazyFingerprint(
                new ServingRequest(
                        new RequestId("abc"),
                        "POST",
                        target,
                        "h",
                        new DefaultHttpHeaders(),
                        body,
                        9000,
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        new Requester.Unchecked()));
    }

    private void end(RequestFingerprint request, int number) {
        mQuarantine.recordCrash(request, UpstreamIncarnation.of("other-" + number));
    }

    @Test
    public void whatIsHeldIsWithheldAndNothingElse() {
        assertFalse(mGuard.isQuarantined(content("/1", new byte[0])));
        end(ONE, 1);
        end(ONE, 2);
        assertFalse(mGuard.isQuarantined(content("/1", new byte[0])));
        end(ONE, 3);
        assertTrue(mGuard.isQuarantined(content("/1", new byte[0])));
        assertFalse(mGuard.isQuarantined(content("/2", new byte[0])));
        assertFalse(mGuard.isQuarantined(content("/1", new byte[1])));
    }

    @Test
    public void twoOfTheSameOutlineAreToldApartByTheirBodies() {
        RequestFingerprint held = RequestFingerprint.of("h", "/3", new byte[] {1});
        end(held, 1);
        end(held, 2);
        end(held, 3);
        assertTrue(mGuard.isQuarantined(content("/3", new byte[] {1})));
        assertFalse(mGuard.isQuarantined(content("/3", new byte[] {2})));
    }

    @Test
    public void whatRanWholeIsClearedByItsNameOnly() {
        end(ONE, 1);
        end(TWO, 1);
        mGuard.recordCompletion(content("/1", new byte[0]));
        assertEquals(held(ONE), 0);
        assertEquals(held(TWO), 1);
    }
}
