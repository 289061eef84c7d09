package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.quarantine.RequestFingerprint;

/** Tests when a stream that becomes quarantined is stopped. */
public final class QuarantinedStreamTest {

    @Test
    public void aRequestQuarantinedWhileItWaitedForMemoryIsNotSentToBePrefilled() {
        ManualClock time = new ManualClock();
        FakePort port = new FakePort();
        port.mDefersReservations = true;
        TestContext setup = new TestContext(time);
        setup.mPort = port;
        setup.mDirectory = new UpstreamDirectory(time.control(), time::millis);
        setup.mDirectory.replaceAll(List.of(TestUpstreams.prefill("p"), TestUpstreams.decode("a")));
        ServingContext context = setup.build();
        FakeCaller caller = TestStreams.start(context, "service", "r");
        RequestFingerprint content = RequestFingerprint.of("h", "/r", new byte[0]);
        for (String crashed : List.of("b", "c", "d")) {
            context.crashGuard()
                    .quarantine()
                    .recordCrash(List.of(content), UpstreamIncarnation.of(crashed));
        }
        port.mDeferredReservation.onResult(new UpstreamPort.Reservation("token"));
        assertEquals(port.mPrefills.size(), 0);
        assertEquals(caller.mRefusal, ResultCode.REQUEST_QUARANTINED);
    }
}
