package org.troutpier.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.Rig.Outcome;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.standins.engine.DecodeModel;
import org.troutpier.standins.engine.PrefixBlocks;
import org.troutpier.standins.fault.Fault;

/** What must hold for one request, under the failures it is meant for. */
public class RequestUnderFailureTest {

    private Rig mRig;

    @AfterMethod(alwaysRun = true)
    public void close() {
        if (mRig != null) {
            mRig.close();
            mRig = null;
        }
    }

    private Rig rig(int routers, int prefills, int decodes, int services) {
        mRig =
                new Rig()
                        .withEngines(prefills, decodes)
                        .withServices(services)
                        .withRouters(routers)
                        .declared();
        return mRig;
    }

    /** Earns retries: each first try earns a tenth of one. */
    private static void earnRetries(Rig rig, int retries) {
        for (int call = 0; call < retries * 10; call++) {
            assertEquals(
                    rig.service(0, "machine-status", null, "/warm", "warm").get().mStatus, 200);
        }
    }

    @Test
    public void aCallThatMustNotBeRepeatedRunsOnceWhenItsAnswerIsLost() {
        Rig rig = rig(1, 1, 1, 2);
        earnRetries(rig, 2);
        rig.mServices.forEach(one -> Rig.fault(one.server(), Fault.LOST_ACK, 10_000, 0));
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-1").get();
        assertEquals(outcome.mFamily, "outcome-unknown", outcome.toString());
        assertEquals(rig.started("order-1"), 1);
    }

    @Test
    public void aCallWhoseUpstreamCannotBeReachedGoesElsewhereAndRunsOnce() {
        Rig rig = rig(1, 1, 1, 2);
        rig.mServices.get(0).close();
        for (int call = 0; call < 6; call++) {
            Outcome outcome = rig.service(0, "parts-status", null, "/orders", "o" + call).get();
            assertEquals(outcome.mStatus, 200, outcome.toString());
            assertEquals(rig.started("o" + call), 1);
        }
    }

    @Test
    public void aCallThatWasLostIsToldAsUnknownWhenItsRetriesAreSpent() {
        Rig rig = rig(1, 1, 1, 1);
        earnRetries(rig, 1);
        Rig.fault(rig.mServices.get(0).server(), Fault.LOST_ACK, 10_000, 0);
        Outcome outcome = rig.service(0, "machine-status", null, "/m", "status-1").get();
        assertEquals(outcome.mFamily, "outcome-unknown", outcome.toString());
        assertTrue(rig.started("status-1") >= 1);
    }

    @Test
    public void aCallThatNoUpstreamCanTakeIsToldAsNotRunAtOnce() {
        Rig rig = rig(1, 1, 1, 1);
        rig.mServices.get(0).close();
        long start = System.nanoTime();
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-2").get();
        assertEquals(outcome.mFamily, "not-run", outcome.toString());
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(1000));
        assertEquals(rig.started("order-2"), 0);
    }

    @Test
    public void aCallThatIsNotAnsweredByItsDeadlineIsNeverToldAsNotRun() {
        Rig rig = rig(1, 1, 1, 1);
        Rig.fault(rig.mServices.get(0).server(), Fault.HANG, 10_000, 0);
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-3").get();
        assertEquals(outcome.mCode, "TP-202", outcome.toString());
        assertEquals(outcome.mFamily, "outcome-unknown");
    }

    @Test
    public void aKeyedCallThatWasLostIsNotRunAgainWhenAskedAgainElsewhere() {
        Rig rig = rig(2, 1, 1, 2);
        rig.mServices.forEach(one -> Rig.fault(one.server(), Fault.LOST_ACK, 1500, 0));
        Outcome first = rig.service(0, "parts-status", "key-1", "/orders", "order-4").get();
        assertEquals(first.mFamily, "outcome-unknown", first.toString());
        Rig.await(
                () -> !rig.mServices.get(0).server().faults().on(Fault.LOST_ACK), "the fault ends");
        Rig.await(
                () ->
                        rig.service(1, "parts-status", "key-1", "/orders", "order-4")
                                .get()
                                .mCode
                                .equals("TP-201"),
                "the end of the first try is told");
        assertEquals(rig.started("order-4"), 1);
    }

    @Test
    public void aKeyedCallOfARouterThatDiedIsNotRunAgain() {
        Rig rig = rig(2, 1, 1, 1);
        Rig.fault(rig.mServices.get(0).server(), Fault.DELAY, 3000, 1200);
        rig.service(0, "parts-status", "key-2", "/orders", "order-5");
        Rig.await(() -> rig.metrics(0).path("requests-carried").asInt() == 1, "it is carried");
        Rig.await(
                () ->
                        rig.service(1, "parts-status", "key-2", "/orders", "order-5")
                                .get()
                                .mCode
                                .equals("TP-200"),
                "the claim is written");
        rig.mRouters.get(0).close();
        Rig.await(
                () ->
                        rig.service(1, "parts-status", "key-2", "/orders", "order-5")
                                .get()
                                .mCode
                                .equals("TP-203"),
                "the holder is known to be gone");
        assertTrue(rig.started("order-5") <= 1);
    }

    @Test
    public void aKeyedCallIsRefusedAsNotRunWhileTheTableIsAway() {
        Rig rig = rig(1, 1, 1, 1);
        Rig.fault(rig.mTable.server(), Fault.OUTAGE, 60_000, 0);
        Outcome outcome = rig.service(0, "parts-status", "key-3", "/orders", "order-6").get();
        assertEquals(outcome.mCode, "TP-124", outcome.toString());
        assertEquals(rig.started("order-6"), 0);
        Outcome plain = rig.service(0, "machine-status", null, "/m/1", "status-6").get();
        assertEquals(plain.mStatus, 200, "traffic without a claim goes on");
    }

    @Test
    public void aRefusedKeyCanBeAskedAgainAfterTheTableIsBack() {
        Rig rig = rig(2, 1, 1, 1);
        Rig.fault(rig.mTable.server(), Fault.LOST_ACK, 700, 0);
        Rig.fault(rig.mTable.server(), Fault.DELAY, 700, 600);
        Outcome first = rig.service(0, "parts-status", "key-4", "/orders", "order-7").get();
        assertEquals(first.mCode, "TP-124", first.toString());
        Rig.await(
                () ->
                        rig.service(1, "parts-status", "key-4", "/orders", "order-7").get().mStatus
                                == 200,
                "the key is free again");
        assertEquals(rig.started("order-7"), 1);
    }

    @Test
    public void aClaimWhoseAcknowledgementIsLostIsSettledByReadingBack() {
        Rig rig = rig(1, 1, 1, 1);
        Rig.fault(rig.mTable.server(), Fault.LOST_ACK, 60_000, 0);
        Outcome outcome = rig.service(0, "parts-status", "key-5", "/orders", "order-8").get();
        assertEquals(outcome.mStatus, 200, outcome.toString());
        assertEquals(rig.started("order-8"), 1);
    }

    @Test
    public void oneKeyAskedAtTwoRoutersAtOnceRunsOnce() {
        Rig rig = rig(2, 1, 1, 0);
        List<Outcome> outcomes = new ArrayList<>();
        for (int ask = 0; ask < 6; ask++) {
            outcomes.add(rig.complete(ask % 2, Rig.TRUST_CALLER, "key-6", "minutes", 20));
        }
        long whole = outcomes.stream().filter(outcome -> outcome.get().whole()).count();
        assertEquals(whole, 1, outcomes.toString());
        assertTrue(
                outcomes.stream().allMatch(one -> one.whole() || one.mCode.equals("TP-200")),
                outcomes.toString());
        assertEquals(rig.decodes("finished"), 1);
        Outcome again = rig.complete(1, Rig.TRUST_CALLER, "key-6", "minutes", 20).get();
        assertTrue(again.whole(), "the kept answer is given again: " + again);
        assertEquals(rig.decodes("finished"), 1);
    }

    @Test
    public void oneKeyForTwoRequestsIsRefused() {
        Rig rig = rig(1, 1, 1, 0);
        assertTrue(rig.complete(0, Rig.TRUST_CALLER, "key-7", "one", 2).get().whole());
        assertEquals(rig.complete(0, Rig.TRUST_CALLER, "key-7", "two", 2).get().mCode, "TP-110");
        assertTrue(
                rig.complete(0, Rig.CALLER, "key-7", "two", 2).get().whole(),
                "another partner's key of the same text is another key");
    }

    @Test
    public void anAnswerForAnotherRequestIsNeverHandedOn() {
        Rig rig = rig(1, 1, 1, 1);
        Rig.fault(rig.mDecodes.get(0).server(), Fault.WRONG_ID, 60_000, 0);
        Outcome outcome = rig.complete(0, Rig.CALLER, null, "log", 5).get();
        assertEquals(outcome.mFamily, "ran-and-failed", outcome.toString());
        assertEquals(outcome.tokens(), 0);
        Rig.fault(rig.mServices.get(0).server(), Fault.WRONG_ID, 60_000, 0);
        Outcome call = rig.service(0, "parts-status", null, "/orders", "order-9").get();
        assertEquals(call.mCode, "TP-301", call.toString());
        Rig.await(() -> rig.heldByAll() == 0, "nothing stays held");
    }

    @Test
    public void anAnswerThatIsCutIsContinuedWhereItBrokeOff() {
        Rig rig = rig(1, 1, 2, 1);
        earnRetries(rig, 1);
        Rig.fault(rig.mDecodes.get(0).server(), Fault.CUT, 60_000, 7);
        Rig.fault(rig.mDecodes.get(1).server(), Fault.CUT, 60_000, 7);
        Outcome outcome = rig.complete(0, Rig.CALLER, null, "log", 30);
        Rig.await(() -> outcome.tokens() == 7, "it broke off");
        rig.mDecodes.forEach(engine -> Rig.fault(engine.server(), Fault.CUT, 0, 0));
        assertTrue(outcome.get().whole(), outcome.toString());
        StringBuilder expected = new StringBuilder();
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < 30; index++) {
            expected.append(PrefixBlocks.token(PrefixBlocks.mark("log"), index));
        }
        for (String part : outcome.mBody.toString().split("\"text\":\"")) {
            if (!part.startsWith("data:")) {
                text.append(part, 0, part.indexOf('"'));
            }
        }
        assertEquals(text.toString().replaceAll("/[0-9a-f]+", ""), expected.toString());
    }

    @Test
    public void anAnswerThatCannotBeContinuedHasNoEndMark() {
        Rig rig = rig(1, 1, 1, 0);
        Rig.fault(rig.mDecodes.get(0).server(), Fault.CUT, 60_000, 3);
        Outcome outcome = rig.complete(0, Rig.CALLER, null, "log", 30).get();
        assertFalse(outcome.whole(), outcome.toString());
        assertFalse(outcome.mEnded, "the connection is cut, so the caller can tell");
        assertTrue(outcome.mBody.toString().contains("TP-3"), outcome.toString());
    }

    @Test
    public void aSupersededHolderSendsNoEndMark() {
        Rig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, Rig.TRUST_CALLER, "key-8", "minutes", 60);
        Rig.await(() -> outcome.tokens() > 3, "it answers");
        String row =
                rig.mTable
                        .server()
                        .address()
                        .url("/rows/" + ClaimStore.rowKey(new PartnerId("trust"), "key-8"));
        ObjectNode claim = (ObjectNode) rig.call(HttpCall.of("GET", row)).as(JsonNode.class);
        claim.put("epoch", 2);
        claim.put("attempt", "another-router's");
        assertTrue(rig.call(HttpCall.of("PUT", row).withJson(claim)).isSuccessful());
        assertFalse(outcome.get().whole(), outcome.toString());
        assertTrue(outcome.mBody.toString().contains("TP-204"), outcome.toString());
    }

    @Test
    public void aSummaryOfARouterThatDiedArrivesExactlyOnceInTheEnd() {
        Rig rig = rig(2, 1, 1, 0);
        Outcome first = rig.complete(0, Rig.TRUST_CALLER, "key-9", "minutes", 400);
        Rig.await(() -> first.tokens() > 3, "it answers");
        rig.mRouters.get(0).close();
        assertFalse(first.get().whole(), first.toString());
        Outcome[] last = new Outcome[1];
        Rig.await(
                () -> {
                    last[0] = rig.complete(1, Rig.TRUST_CALLER, "key-9", "minutes", 400).get();
                    return last[0].mStatus == 200;
                },
                "the other router takes over");
        assertTrue(last[0].whole(), last[0].toString());
    }

    @Test
    public void theEndMarkWaitsUntilTheOutcomeIsRecorded() {
        Rig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, Rig.TRUST_CALLER, "key-10", "minutes", 10);
        Rig.await(() -> outcome.tokens() > 3, "it answers");
        Rig.fault(rig.mTable.server(), Fault.OUTAGE, 60_000, 0);
        Rig.await(() -> outcome.tokens() == 10, "all tokens are there");
        Rig.await(
                () ->
                        rig.command(0, Rig.ADMINISTRATOR, "show requests")
                                .text()
                                .contains("answering"),
                "the outcome is being recorded");
        assertFalse(outcome.mBody.toString().contains("[DONE]"), outcome.toString());
        Rig.fault(rig.mTable.server(), Fault.OUTAGE, 0, 0);
        assertTrue(outcome.get().whole(), outcome.toString());
    }

    @Test
    public void nothingStaysHeldForACallerThatIsGone() {
        Rig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, Rig.CALLER, null, "log", 5000);
        Rig.await(() -> outcome.tokens() > 3, "it answers");
        Rig.fault(rig.mDecodes.get(0).server(), Fault.LOST_ACK, 1000, 0);
        outcome.mOngoing.abort();
        Rig.await(() -> rig.heldByAll() == 0, "nothing is held");
        Rig.await(() -> rig.metrics(0).path("cancel.pending").asInt() == 0, "all is confirmed");
        assertTrue(rig.metrics(0).path("cancel.tries").asInt() > 1, "the cancel was tried again");
        assertEquals(rig.metrics(0).path("requests-carried").asInt(), 0);
    }

    @Test
    public void nothingStaysHeldForARouterThatIsGone() {
        Rig rig = rig(2, 1, 2, 0);
        for (int request = 0; request < 8; request++) {
            rig.complete(0, Rig.CALLER, null, "log " + request, 5000);
        }
        Rig.await(() -> rig.decodes("started") == 8, "all decode");
        rig.mRouters.get(0).close();
        assertTrue(rig.heldByAll() > 0);
        Rig.await(() -> rig.heldByAll() == 0, "the orphans are swept");
    }

    @Test
    public void aLeavingUpstreamGetsNoNewWork() {
        Rig rig = rig(1, 1, 2, 0);
        Rig.fault(rig.mDecodes.get(0).server(), Fault.LEAVING, 60_000, 0);
        Rig.await(
                () ->
                        rig.command(0, Rig.OPERATOR, "show upstreams where state = leaving")
                                .text()
                                .contains("decode-1"),
                "the leaving is known");
        long before = rig.mDecodes.get(0).server().ran().all().size();
        for (int request = 0; request < 10; request++) {
            assertTrue(rig.complete(0, Rig.CALLER, null, "log " + request, 2).get().whole());
        }
        assertEquals(rig.mDecodes.get(0).server().ran().all().size(), before);
    }

    @Test
    public void aPlannedStopCutsNoRequestInProgress() throws Exception {
        Rig rig = rig(1, 1, 1, 1);
        Outcome stream = rig.complete(0, Rig.CALLER, null, "log", 300);
        Address router = rig.mRouters.get(0).callerAddress();
        try (Socket download = new Socket(router.host(), router.port())) {
            String head =
                    "GET /services/status/transcripts/1?bytes=9000000 HTTP/1.1\r\nHost: r\r\n"
                            + "Connection: close\r\nTroutpier-Class: transcript\r\n"
                            + "Authorization: Bearer "
                            + Rig.CALLER
                            + "\r\n\r\n";
            download.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            assertEquals(download.getInputStream().read(), 'H', "the download has begun");
            Rig.await(() -> stream.tokens() > 3, "it answers");
            Thread stop = new Thread(() -> rig.mRouters.get(0).stop());
            stop.start();
            Rig.await(
                    () -> rig.complete(0, Rig.CALLER, null, "late", 1).get().mCode.equals("TP-123"),
                    "no new work is taken");
            assertTrue(stream.get().whole(), stream.toString());
            assertEquals(stream.tokens(), 300);
            String rest = new String(download.getInputStream().readAllBytes());
            assertEquals(rest.substring(rest.indexOf("\r\n\r\n") + 4).length(), 9_000_000);
            stop.join();
        }
    }

    @Test
    public void aStalledTransferIsGivenUpAndItsSlotFreed() {
        Rig rig = rig(1, 2, 1, 1);
        earnRetries(rig, 1);
        Rig.fault(rig.mPrefills.get(0).server(), Fault.STALL, 60_000, 0);
        Rig.fault(rig.mPrefills.get(1).server(), Fault.STALL, 60_000, 0);
        Outcome outcome = rig.complete(0, Rig.CALLER, null, "log", 5);
        Rig.await(() -> rig.held(rig.mDecodes.get(0).server()) == 1, "the slot is held");
        rig.mPrefills.forEach(one -> Rig.fault(one.server(), Fault.STALL, 0, 0));
        assertTrue(outcome.get().whole(), outcome.toString());
        Rig.await(() -> rig.heldByAll() == 0, "nothing is held");
        assertEquals(rig.metrics(0).path("requests.association.given-up").asInt(), 1);
    }

    @Test
    public void retriesStayWithinATenthOfFirstTries() {
        Rig rig = rig(1, 1, 1, 2);
        rig.mServices.forEach(one -> Rig.fault(one.server(), Fault.FULL, 60_000, 0));
        for (int call = 0; call < 60; call++) {
            Outcome outcome = rig.service(0, "machine-status", null, "/m", "m" + call).get();
            assertEquals(outcome.mFamily, "not-run", outcome.toString());
        }
        JsonNode metrics = rig.metrics(0);
        int first = metrics.path("requests.association.first-tries").asInt();
        int retries = metrics.path("requests.association.retries").asInt();
        assertEquals(first, 60);
        assertTrue(retries > 0 && retries <= first / 10, retries + " retries");
    }

    @Test
    public void onePartnersFullHouseDoesNotRefuseTheOther() {
        Rig base = new Rig().withEngines(1, 1, new DecodeModel(4, 8000, 100, 100, false));
        mRig = base.withRouters(1);
        DeclarationPart part = base.part(Rig.classes());
        base.declared(part);
        List<Outcome> flood = new ArrayList<>();
        for (int request = 0; request < 45; request++) {
            flood.add(base.complete(0, Rig.CALLER, null, "log " + request, 20));
        }
        Outcome other = base.complete(0, Rig.TRUST_CALLER, null, "minutes", 20).get();
        assertTrue(other.whole(), other.toString());
        long done = flood.stream().filter(one -> one.mEnded).count();
        assertTrue(done < 25, "the other partner waited for " + done + " of the flood");
        flood.forEach(one -> assertTrue(one.get().whole(), one.toString()));
    }
}
