package org.troutpier.daemon.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.WaitingReport;

/** Which calls are sent, wait or are refused, given the room and the calls that wait elsewhere. */
public final class CallAdmissionTest {

    private static final PartnerId FLOOD = new PartnerId("flood");

    private static final PartnerId CALM = new PartnerId("calm");

    private static UpstreamRoom room(String id, int limit, int calls) {
        UpstreamEntry upstream =
                new UpstreamEntry(
                        UpstreamIncarnation.of(id),
                        "service",
                        new Address("127.0.0.1", 1),
                        new HallId("hall"),
                        6,
                        UpstreamEntry.Role.PLAIN,
                        false);
        return new UpstreamRoom(upstream, limit, calls, 0, true, ConcurrencyLimit.Cause.TARGET);
    }

    private static WaitingReport.Entry waiting(PartnerId organisation, int rank, int calls) {
        return new WaitingReport.Entry(
                "service", QueueTier.IN_TIME, rank, organisation, calls, 100);
    }

    private static Claim claim(PartnerId organisation, QueueTier tier) {
        return new Claim(tier, new FlowKey(2, organisation), 100, 1);
    }

    private static CallAdmission admission(
            List<WaitingReport.Entry> waiting, UpstreamRoom... rooms) {
        return new CallAdmission("service", List.of(rooms), waiting, List.of(), 20);
    }

    private static CallAdmission.Verdict verdict(
            CallAdmission admission, PartnerId organisation, double draw) {
        return admission.decide(claim(organisation, QueueTier.IN_TIME), draw, 30).verdict();
    }

    @Test
    public void aFloodWaitsBehindOneCallOfEachOtherOrganisation() {
        CallAdmission admission =
                admission(List.of(waiting(FLOOD, 2, 50)), room("a", 10, 9), room("b", 10, 9));
        assertEquals(verdict(admission, CALM, 0.9), CallAdmission.Verdict.SEND);
        assertEquals(verdict(admission, FLOOD, 0.9), CallAdmission.Verdict.REFUSE);
        assertEquals(verdict(admission, FLOOD, 0.01), CallAdmission.Verdict.SEND);
    }

    @Test
    public void aboutAsManyWaitingCallsAreSentAsThereIsRoom() {
        CallAdmission admission = admission(List.of(waiting(FLOOD, 2, 50)), room("a", 15, 5));
        int sent = 0;
        for (int call = 0; call < 50; call++) {
            sent += verdict(admission, FLOOD, call / 50.0) == CallAdmission.Verdict.SEND ? 1 : 0;
        }
        assertEquals(sent, 10);
    }

    @Test
    public void moreUrgentCallsAndThoseInTimePrecede() {
        List<WaitingReport.Entry> urgent = List.of(waiting(FLOOD, 1, 3));
        assertEquals(
                verdict(admission(urgent, room("a", 10, 7)), CALM, 0), CallAdmission.Verdict.WAIT);
        assertEquals(
                verdict(admission(urgent, room("a", 10, 6)), CALM, 0), CallAdmission.Verdict.SEND);
        List<WaitingReport.Entry> same = List.of(waiting(FLOOD, 2, 3));
        CallAdmission.Decision late =
                admission(same, room("a", 10, 7)).decide(claim(CALM, QueueTier.LATE), 0, -1);
        assertEquals(late.verdict(), CallAdmission.Verdict.REFUSE);
    }

    @Test
    public void callsOfOtherServicesDoNotPrecede() {
        WaitingReport.Entry other =
                new WaitingReport.Entry("engines", QueueTier.IN_TIME, 0, FLOOD, 5000, 100);
        assertEquals(
                verdict(admission(List.of(other), room("a", 10, 9)), CALM, 0),
                CallAdmission.Verdict.SEND);
    }

    @Test
    public void aCallIsRefusedAtOnceIfItsPredictedWaitIsTooLong() {
        CallAdmission admission = admission(List.of(), room("a", 10, 10));
        Claim claim = claim(CALM, QueueTier.IN_TIME);
        assertEquals(admission.decide(claim, 0, 30).verdict(), CallAdmission.Verdict.WAIT);
        assertEquals(admission.decide(claim, 0, 1).verdict(), CallAdmission.Verdict.REFUSE);
        assertTrue(admission.decide(claim, 0, 1).waitMillis() > 0);
    }

    @Test
    public void routersWithTheSameViewSpreadOverTheRoom() {
        CallAdmission admission =
                admission(List.of(), room("a", 24, 4), room("b", 24, 14), room("c", 24, 24));
        List<String> first = new ArrayList<>();
        for (int router = 0; router < 300; router++) {
            List<UpstreamEntry> order = admission.order(new Random(router));
            assertEquals(order.size(), 2);
            first.add(order.get(0).id().value());
        }
        long atA = first.stream().filter("a"::equals).count();
        assertTrue(atA > 170 && atA < 230, "a is first " + atA + " times of 300");
    }

    @Test
    public void theOrderOfPreferenceIsKeptWhileItsFirstIsLightlyLoaded() {
        CallAdmission admission = admission(List.of(), room("a", 24, 2), room("b", 24, 0));
        for (int router = 0; router < 20; router++) {
            assertEquals(admission.order(new Random(router)).get(0).id().value(), "a");
        }
    }
}
