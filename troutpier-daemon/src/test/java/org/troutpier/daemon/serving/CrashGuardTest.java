package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.quarantine.CrashRecord;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/** Tests which lost calls count as crashes of their upstream. */
public final class CrashGuardTest {

    private static final RequestFingerprint ONE = RequestFingerprint.of("h", "/1", new byte[0]);
    private static final RequestFingerprint TWO = RequestFingerprint.of("h", "/2", new byte[0]);

    private final UpstreamEntry mUpstream = TestUpstreams.decode("a");
    private ManualClock mTime;
    private UpstreamDirectory mDirectory;
    private Quarantine mQuarantine;
    private CrashGuard mGuard;
    private List<Boolean> mResults;

    /** The listeners of unanswered probes. */
    private List<Consumer<UpstreamPort.ProbeResult>> mProbes;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        mDirectory.replaceAll(List.of(mUpstream));
        MetricRegistry metrics = new MetricRegistry();
        mQuarantine = new Quarantine(QuarantineSettings.DEFAULT, mTime::millis, metrics);
        mProbes = new ArrayList<>();
        mResults = new ArrayList<>();
        FakePort port = new FakePort();
        port.mOnCheck = mProbes::add;
        mGuard = new CrashGuard(mTime.loop(), port, mDirectory, mQuarantine, metrics);
    }

    private void loseCall(RequestFingerprint request) {
        mGuard.attributeLoss(mUpstream, traits(request), 0, mResults::add);
    }

    private void answer(UpstreamPort.ProbeResult listening) {
        mProbes.remove(0).accept(listening);
    }

    private int recordedCrashes(RequestFingerprint request) {
        return Optional.ofNullable(mQuarantine.records().get(request))
                .map(record -> record.ended().size())
                .orElse(0);
    }

    @Test
    public void aCrashIsRecordedAgainstAllRequestsLostWithIt() {
        loseCall(ONE);
        loseCall(TWO);
        assertEquals(mProbes.size(), 1);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        assertEquals(mResults, List.of());
        mTime.advance(CrashGuard.SETTLE_MILLIS);
        assertEquals(mResults, List.of(true, true));
        assertEquals(recordedCrashes(ONE), 1);
        assertEquals(recordedCrashes(TWO), 1);
    }

    @Test
    public void aLossReportedLaterIsRecordedWithoutAnotherProbe() {
        loseCall(ONE);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        loseCall(TWO);
        assertEquals(mProbes.size(), 0);
        assertEquals(recordedCrashes(TWO), 1);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(mResults, List.of(true, true));
    }

    @Test
    public void aLostAnswerOfAListeningUpstreamIsNotRecorded() {
        loseCall(ONE);
        answer(UpstreamPort.ProbeResult.LISTENING);
        assertEquals(mResults, List.of(false));
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void aProbeSentBeforeALossDoesNotDecideIt() {
        loseCall(ONE);
        loseCall(TWO);
        answer(UpstreamPort.ProbeResult.LISTENING);
        assertEquals(mResults, List.of(false));
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(mResults, List.of(false, true));
        assertEquals(recordedCrashes(ONE), 0);
        assertEquals(recordedCrashes(TWO), 1);
    }

    @Test
    public void aSilentMachineOrPathIsNotRecordedAndDelaysNoRequest() {
        loseCall(ONE);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(mResults, List.of(false));
        answer(UpstreamPort.ProbeResult.UNKNOWN);
        assertEquals(mResults, List.of(false));
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void aCrashThatIsFoundLateIsStillRecorded() {
        loseCall(ONE);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        assertEquals(mResults, List.of(false));
        assertEquals(recordedCrashes(ONE), 1);
    }

    @Test
    public void aPlannedShutdownIsNotRecorded() {
        mDirectory.update(mUpstream.id(), Optional.empty());
        loseCall(ONE);
        assertEquals(mResults, List.of(false));
        assertEquals(mProbes.size(), 0);
        assertTrue(mQuarantine.isEmpty());
    }

    @Test
    public void anUpstreamThatHasRestartedUnderItsIdHasCrashed() {
        UpstreamEntry first = TestUpstreams.startedAt(mUpstream, 1);
        mDirectory.replaceAll(List.of(first));
        mGuard.attributeLoss(first, traits(ONE), 0, mResults::add);
        mDirectory.replaceAll(List.of(TestUpstreams.startedAt(mUpstream, 2)));
        answer(UpstreamPort.ProbeResult.LISTENING);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(mResults, List.of(true));
        assertEquals(recordedCrashes(ONE), 1);
    }

    /** Has another router report that the upstream crashed under a request of its own. */
    private void reportCrashElsewhere() {
        CrashRecord record = new CrashRecord(0, Set.of(mUpstream.incarnation()));
        mQuarantine.merge(new CrashReport(TWO, record));
    }

    @Test
    public void aCrashThatOnlyAnotherRouterFindsIsRecordedAgainstRequestsLostHere() {
        loseCall(ONE);
        answer(UpstreamPort.ProbeResult.LISTENING);
        reportCrashElsewhere();
        assertEquals(recordedCrashes(ONE), 1);
    }

    @Test
    public void aCallLostLongBeforeACrashElsewhereIsNotRecorded() {
        loseCall(ONE);
        answer(UpstreamPort.ProbeResult.LISTENING);
        mTime.advance(3000);
        reportCrashElsewhere();
        assertEquals(recordedCrashes(ONE), 0);
    }

    @Test
    public void aRequestThatWroteForSomeTimeBeforeACrashProvesItsPartsSound() {
        long longEnough = CrashGuard.SOUND_WRITING_MILLIS;
        mGuard.attributeLoss(mUpstream, withPart("long"), longEnough, mResults::add);
        mGuard.attributeLoss(mUpstream, withPart("short"), longEnough - 1, mResults::add);
        answer(UpstreamPort.ProbeResult.NOT_LISTENING);
        assertEquals(mQuarantine.crashCount(CrashTrait.ForPart.of("long")), 0);
        assertEquals(mQuarantine.crashCount(CrashTrait.ForPart.of("short")), 1);
    }

    private static RequestTraits traits(RequestFingerprint request) {
        return content(request.equals(ONE) ? "/1" : "/2", new byte[0]);
    }

    private boolean isWithheld(String target, byte[] body) {
        return mGuard.withhold(content(target, body)).isPresent();
    }

    private static RequestTraits content(String target, byte[] body) {
        return traits(target, body, Optional.empty());
    }

    private static RequestTraits withPart(String part) {
        List<PromptMetadata.Part> parts =
                List.of(
                        new PromptMetadata.Part(part, 100),
                        new PromptMetadata.Part("own of " + part, 100));
        return traits(
                "/" + part, new byte[0], Optional.of(new PromptMetadata("m", 200, 10, parts)));
    }

    private static RequestTraits traits(
            String target, byte[] body, Optional<PromptMetadata> prompt) {
        return new RequestTraits(TestRequests.of("abc", target, body, prompt), "service");
    }

    private void recordCrash(RequestFingerprint request, int number) {
        mQuarantine.recordCrash(List.of(request), UpstreamIncarnation.of("other-" + number));
    }

    @Test
    public void onlyQuarantinedRequestsAreBlocked() {
        assertFalse(isWithheld("/1", new byte[0]));
        recordCrash(ONE, 1);
        recordCrash(ONE, 2);
        assertFalse(isWithheld("/1", new byte[0]));
        recordCrash(ONE, 3);
        assertTrue(isWithheld("/1", new byte[0]));
        assertFalse(isWithheld("/2", new byte[0]));
        assertFalse(isWithheld("/1", new byte[1]));
    }

    @Test
    public void requestsWithTheSameCoarseHashAreDistinguishedByBody() {
        RequestFingerprint quarantined = RequestFingerprint.of("h", "/3", new byte[] {1});
        recordCrash(quarantined, 1);
        recordCrash(quarantined, 2);
        recordCrash(quarantined, 3);
        assertTrue(isWithheld("/3", new byte[] {1}));
        assertFalse(isWithheld("/3", new byte[] {2}));
    }

    @Test
    public void aCompletedRequestClearsOnlyItsOwnRecord() {
        recordCrash(ONE, 1);
        recordCrash(TWO, 1);
        mGuard.recordCompletion(content("/1", new byte[0]));
        assertEquals(recordedCrashes(ONE), 0);
        assertEquals(recordedCrashes(TWO), 1);
    }
}
