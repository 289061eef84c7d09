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
import org.troutpier.daemon.RouterTestRig.Outcome;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.standins.engine.DecodeModel;
import org.troutpier.standins.engine.PrefixBlocks;
import org.troutpier.standins.fault.Fault;

/** End-to-end tests of single requests under failures of upstreams, routers and the platform. */
public class RequestUnderFailureTest {

    private RouterTestRig mRig;

    @AfterMethod(alwaysRun = true)
    public void close() {
        if (mRig != null) {
            mRig.close();
            mRig = null;
        }
    }

    private RouterTestRig rig(int routers, int prefills, int decodes, int services) {
        mRig =
                new RouterTestRig()
                        .withEngines(prefills, decodes)
                        .withServices(services)
                        .withRouters(routers)
                        .declared();
        return mRig;
    }

    /**
     * Sends first tries until the budget allows the retries: each first try earns a tenth of one.
     */
    private static void earnRetryBudget(RouterTestRig rig, int retries) {
        for (int call = 0; call < retries * 10; call++) {
            assertEquals(
                    rig.service(0, "machine-status", null, "/warm", "warm").get().mStatus, 200);
        }
    }

    @Test
    public void nonRepeatableCallRunsOnceWhenAnswerIsLost() {
        RouterTestRig rig = rig(1, 1, 1, 2);
        earnRetryBudget(rig, 2);
        rig.mServices.forEach(one -> RouterTestRig.fault(one.server(), Fault.LOST_ACK, 10_000, 0));
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-1").get();
        assertEquals(outcome.mFamily, "outcome-unknown", outcome.toString());
        assertEquals(rig.started("order-1"), 1);
    }

    @Test
    public void callToUnreachableUpstreamIsReroutedAndRunsOnce() {
        RouterTestRig rig = rig(1, 1, 1, 2);
        rig.mServices.get(0).close();
        for (int call = 0; call < 6; call++) {
            Outcome outcome = rig.service(0, "parts-status", null, "/orders", "o" + call).get();
            assertEquals(outcome.mStatus, 200, outcome.toString());
            assertEquals(rig.started("o" + call), 1);
        }
    }

    @Test
    public void lostCallIsReportedAsUnknownWhenRetriesAreExhausted() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        earnRetryBudget(rig, 1);
        RouterTestRig.fault(rig.mServices.get(0).server(), Fault.LOST_ACK, 10_000, 0);
        Outcome outcome = rig.service(0, "machine-status", null, "/m", "status-1").get();
        assertEquals(outcome.mFamily, "outcome-unknown", outcome.toString());
        assertTrue(rig.started("status-1") >= 1);
    }

    @Test
    public void callWithoutAvailableUpstreamIsReportedAsNotRunAtOnce() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        rig.mServices.get(0).close();
        long start = System.nanoTime();
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-2").get();
        assertEquals(outcome.mFamily, "not-run", outcome.toString());
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(1000));
        assertEquals(rig.started("order-2"), 0);
    }

    @Test
    public void callPastDeadlineIsNeverReportedAsNotRun() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        RouterTestRig.fault(rig.mServices.get(0).server(), Fault.HANG, 10_000, 0);
        Outcome outcome = rig.service(0, "parts-status", null, "/orders", "order-3").get();
        assertEquals(outcome.mCode, "TP-202", outcome.toString());
        assertEquals(outcome.mFamily, "outcome-unknown");
    }

    @Test
    public void lostKeyedCallIsNotRunAgainAtAnotherRouter() {
        RouterTestRig rig = rig(2, 1, 1, 2);
        rig.mServices.forEach(one -> RouterTestRig.fault(one.server(), Fault.LOST_ACK, 1500, 0));
        Outcome first = rig.service(0, "parts-status", "key-1", "/orders", "order-4").get();
        assertEquals(first.mFamily, "outcome-unknown", first.toString());
        RouterTestRig.await(
                () -> !rig.mServices.get(0).server().faults().on(Fault.LOST_ACK), "the fault ends");
        RouterTestRig.await(
                () ->
                        rig.service(1, "parts-status", "key-1", "/orders", "order-4")
                                .get()
                                .mCode
                                .equals("TP-201"),
                "the end of the first try is told");
        assertEquals(rig.started("order-4"), 1);
    }

    @Test
    public void keyedCallOfCrashedRouterIsNotRunAgain() {
        RouterTestRig rig = rig(2, 1, 1, 1);
        RouterTestRig.fault(rig.mServices.get(0).server(), Fault.DELAY, 3000, 1200);
        rig.service(0, "parts-status", "key-2", "/orders", "order-5");
        RouterTestRig.await(
                () -> rig.metrics(0).path("requests-carried").asInt() == 1, "it is carried");
        RouterTestRig.await(
                () ->
                        rig.service(1, "parts-status", "key-2", "/orders", "order-5")
                                .get()
                                .mCode
                                .equals("TP-200"),
                "the claim is written");
        rig.mRouters.get(0).close();
        RouterTestRig.await(
                () ->
                        rig.service(1, "parts-status", "key-2", "/orders", "order-5")
                                .get()
                                .mCode
                                .equals("TP-203"),
                "the holder is known to be gone");
        assertTrue(rig.started("order-5") <= 1);
    }

    @Test
    public void keyedCallIsRefusedAsNotRunWhileTableIsUnavailable() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        RouterTestRig.fault(rig.mTable.server(), Fault.OUTAGE, 60_000, 0);
        Outcome outcome = rig.service(0, "parts-status", "key-3", "/orders", "order-6").get();
        assertEquals(outcome.mCode, "TP-124", outcome.toString());
        assertEquals(rig.started("order-6"), 0);
        Outcome plain = rig.service(0, "machine-status", null, "/m/1", "status-6").get();
        assertEquals(plain.mStatus, 200, "traffic without a claim goes on");
    }

    @Test
    public void refusedKeyCanBeRetriedOnceTableIsAvailable() {
        RouterTestRig rig = rig(2, 1, 1, 1);
        RouterTestRig.fault(rig.mTable.server(), Fault.LOST_ACK, 700, 0);
        RouterTestRig.fault(rig.mTable.server(), Fault.DELAY, 700, 600);
        Outcome first = rig.service(0, "parts-status", "key-4", "/orders", "order-7").get();
        assertEquals(first.mCode, "TP-124", first.toString());
        RouterTestRig.await(
                () ->
                        rig.service(1, "parts-status", "key-4", "/orders", "order-7").get().mStatus
                                == 200,
                "the key is free again");
        assertEquals(rig.started("order-7"), 1);
    }

    @Test
    public void claimWithLostAcknowledgementIsSettledByReadBack() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        RouterTestRig.fault(rig.mTable.server(), Fault.LOST_ACK, 60_000, 0);
        Outcome outcome = rig.service(0, "parts-status", "key-5", "/orders", "order-8").get();
        assertEquals(outcome.mStatus, 200, outcome.toString());
        assertEquals(rig.started("order-8"), 1);
    }

    @Test
    public void sameKeyAtTwoRoutersConcurrentlyRunsOnce() {
        RouterTestRig rig = rig(2, 1, 1, 0);
        List<Outcome> outcomes = new ArrayList<>();
        for (int ask = 0; ask < 6; ask++) {
            outcomes.add(rig.complete(ask % 2, RouterTestRig.TRUST_CALLER, "key-6", "minutes", 20));
        }
        long whole = outcomes.stream().filter(outcome -> outcome.get().isComplete()).count();
        assertEquals(whole, 1, outcomes.toString());
        assertTrue(
                outcomes.stream().allMatch(one -> one.isComplete() || one.mCode.equals("TP-200")),
                outcomes.toString());
        assertEquals(rig.decodes("finished"), 1);
        Outcome again = rig.complete(1, RouterTestRig.TRUST_CALLER, "key-6", "minutes", 20).get();
        assertTrue(again.isComplete(), "the kept answer is given again: " + again);
        assertEquals(rig.decodes("finished"), 1);
    }

    @Test
    public void keyReuseForAnotherRequestIsRefused() {
        RouterTestRig rig = rig(1, 1, 1, 0);
        assertTrue(
                rig.complete(0, RouterTestRig.TRUST_CALLER, "key-7", "one", 2).get().isComplete());
        assertEquals(
                rig.complete(0, RouterTestRig.TRUST_CALLER, "key-7", "two", 2).get().mCode,
                "TP-110");
        assertTrue(
                rig.complete(0, RouterTestRig.CALLER, "key-7", "two", 2).get().isComplete(),
                "another partner's key of the same text is another key");
    }

    @Test
    public void answerOfAnotherRequestIsNeverForwarded() {
        RouterTestRig rig = rig(1, 1, 1, 1);
        RouterTestRig.fault(rig.mDecodes.get(0).server(), Fault.WRONG_ID, 60_000, 0);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5).get();
        assertEquals(outcome.mFamily, "ran-and-failed", outcome.toString());
        assertEquals(outcome.tokens(), 0);
        RouterTestRig.fault(rig.mServices.get(0).server(), Fault.WRONG_ID, 60_000, 0);
        Outcome call = rig.service(0, "parts-status", null, "/orders", "order-9").get();
        assertEquals(call.mCode, "TP-301", call.toString());
        RouterTestRig.await(() -> rig.heldByAll() == 0, "nothing stays held");
    }

    @Test
    public void cutStreamIsResumedWhereItBrokeOff() {
        RouterTestRig rig = rig(1, 1, 2, 1);
        earnRetryBudget(rig, 1);
        RouterTestRig.fault(rig.mDecodes.get(0).server(), Fault.CUT, 60_000, 7);
        RouterTestRig.fault(rig.mDecodes.get(1).server(), Fault.CUT, 60_000, 7);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 30);
        RouterTestRig.await(() -> outcome.tokens() == 7, "it broke off");
        rig.mDecodes.forEach(engine -> RouterTestRig.fault(engine.server(), Fault.CUT, 0, 0));
        assertTrue(outcome.get().isComplete(), outcome.toString());
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
    public void streamThatCannotBeResumedHasNoEndMark() {
        RouterTestRig rig = rig(1, 1, 1, 0);
        RouterTestRig.fault(rig.mDecodes.get(0).server(), Fault.CUT, 60_000, 3);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 30).get();
        assertFalse(outcome.isComplete(), outcome.toString());
        assertFalse(outcome.mEnded, "the connection is cut, so the caller can tell");
        assertTrue(outcome.mBody.toString().contains("TP-3"), outcome.toString());
    }

    @Test
    public void supersededClaimHolderSendsNoEndMark() {
        RouterTestRig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, RouterTestRig.TRUST_CALLER, "key-8", "minutes", 60);
        RouterTestRig.await(() -> outcome.tokens() > 3, "it answers");
        String row =
                rig.mTable
                        .server()
                        .address()
                        .url("/rows/" + ClaimStore.rowKey(new PartnerId("trust"), "key-8"));
        ObjectNode claim = (ObjectNode) rig.call(HttpCall.of("GET", row)).as(JsonNode.class);
        claim.put("epoch", 2);
        claim.put("attempt", "another-router's");
        assertTrue(rig.call(HttpCall.of("PUT", row).withJson(claim)).isSuccessful());
        assertFalse(outcome.get().isComplete(), outcome.toString());
        assertTrue(outcome.mBody.toString().contains("TP-204"), outcome.toString());
    }

    @Test
    public void keyedCompletionOfCrashedRouterIsDeliveredExactlyOnce() {
        RouterTestRig rig = rig(2, 1, 1, 0);
        Outcome first = rig.complete(0, RouterTestRig.TRUST_CALLER, "key-9", "minutes", 400);
        RouterTestRig.await(() -> first.tokens() > 3, "it answers");
        rig.mRouters.get(0).close();
        assertFalse(first.get().isComplete(), first.toString());
        Outcome[] last = new Outcome[1];
        RouterTestRig.await(
                () -> {
                    last[0] =
                            rig.complete(1, RouterTestRig.TRUST_CALLER, "key-9", "minutes", 400)
                                    .get();
                    return last[0].mStatus == 200;
                },
                "the other router takes over");
        assertTrue(last[0].isComplete(), last[0].toString());
    }

    @Test
    public void endMarkIsWithheldUntilOutcomeIsRecorded() {
        RouterTestRig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, RouterTestRig.TRUST_CALLER, "key-10", "minutes", 10);
        RouterTestRig.await(() -> outcome.tokens() > 3, "it answers");
        RouterTestRig.fault(rig.mTable.server(), Fault.OUTAGE, 60_000, 0);
        RouterTestRig.await(() -> outcome.tokens() == 10, "all tokens are there");
        RouterTestRig.await(
                () ->
                        rig.command(0, RouterTestRig.ADMINISTRATOR, "show requests")
                                .text()
                                .contains("answering"),
                "the outcome is being recorded");
        assertFalse(outcome.mBody.toString().contains("[DONE]"), outcome.toString());
        RouterTestRig.fault(rig.mTable.server(), Fault.OUTAGE, 0, 0);
        assertTrue(outcome.get().isComplete(), outcome.toString());
    }

    @Test
    public void enginesReleaseRequestsOfDisconnectedCaller() {
        RouterTestRig rig = rig(1, 1, 1, 0);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5000);
        RouterTestRig.await(() -> outcome.tokens() > 3, "it answers");
        RouterTestRig.fault(rig.mDecodes.get(0).server(), Fault.LOST_ACK, 1000, 0);
        outcome.mOngoing.abort();
        RouterTestRig.await(() -> rig.heldByAll() == 0, "nothing is held");
        RouterTestRig.await(
                () -> rig.metrics(0).path("cancel.pending").asInt() == 0, "all is confirmed");
        assertTrue(rig.metrics(0).path("cancel.tries").asInt() > 1, "the cancel was tried again");
        assertEquals(rig.metrics(0).path("requests-carried").asInt(), 0);
    }

    @Test
    public void enginesReleaseRequestsOfCrashedRouter() {
        RouterTestRig rig = rig(2, 1, 2, 0);
        for (int request = 0; request < 8; request++) {
            rig.complete(0, RouterTestRig.CALLER, null, "log " + request, 5000);
        }
        RouterTestRig.await(() -> rig.decodes("started") == 8, "all decode");
        rig.mRouters.get(0).close();
        assertTrue(rig.heldByAll() > 0);
        RouterTestRig.await(() -> rig.heldByAll() == 0, "the orphans are swept");
    }

    @Test
    public void leavingUpstreamGetsNoNewWork() {
        RouterTestRig rig = rig(1, 1, 2, 0);
        RouterTestRig.fault(rig.mDecodes.get(0).server(), Fault.LEAVING, 60_000, 0);
        RouterTestRig.await(
                () ->
                        rig.command(
                                        0,
                                        RouterTestRig.OPERATOR,
                                        "show upstreams where state = leaving")
                                .text()
                                .contains("decode-1"),
                "the leaving is known");
        long before = rig.mDecodes.get(0).server().ran().all().size();
        for (int request = 0; request < 10; request++) {
            assertTrue(
                    rig.complete(0, RouterTestRig.CALLER, null, "log " + request, 2)
                            .get()
                            .isComplete());
        }
        assertEquals(rig.mDecodes.get(0).server().ran().all().size(), before);
    }

    @Test
    public void gracefulStopCutsNoRequestInProgress() throws Exception {
        RouterTestRig rig = rig(1, 1, 1, 1);
        Outcome stream = rig.complete(0, RouterTestRig.CALLER, null, "log", 300);
        Address router = rig.mRouters.get(0).callerAddress();
        try (Socket download = new Socket(router.host(), router.port())) {
            String head =
                    "GET /services/status/transcripts/1?bytes=9000000 HTTP/1.1\r\nHost: r\r\n"
                            + "Connection: close\r\nTroutpier-Class: transcript\r\n"
                            + "Authorization: Bearer "
                            + RouterTestRig.CALLER
                            + "\r\n\r\n";
            download.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            assertEquals(download.getInputStream().read(), 'H', "the download has begun");
            RouterTestRig.await(() -> stream.tokens() > 3, "it answers");
            Thread stop = new Thread(() -> rig.mRouters.get(0).stop());
            stop.start();
            RouterTestRig.await(
                    () ->
                            rig.complete(0, RouterTestRig.CALLER, null, "late", 1)
                                    .get()
                                    .mCode
                                    .equals("TP-123"),
                    "no new work is taken");
            assertTrue(stream.get().isComplete(), stream.toString());
            assertEquals(stream.tokens(), 300);
            String rest = new String(download.getInputStream().readAllBytes());
            assertEquals(rest.substring(rest.indexOf("\r\n\r\n") + 4).length(), 9_000_000);
            stop.join();
        }
    }

    @Test
    public void stalledKvTransferIsAbortedAndSlotFreed() {
        RouterTestRig rig = rig(1, 2, 1, 1);
        earnRetryBudget(rig, 1);
        RouterTestRig.fault(rig.mPrefills.get(0).server(), Fault.STALL, 60_000, 0);
        RouterTestRig.fault(rig.mPrefills.get(1).server(), Fault.STALL, 60_000, 0);
        Outcome outcome = rig.complete(0, RouterTestRig.CALLER, null, "log", 5);
        RouterTestRig.await(() -> rig.held(rig.mDecodes.get(0).server()) == 1, "the slot is held");
        rig.mPrefills.forEach(one -> RouterTestRig.fault(one.server(), Fault.STALL, 0, 0));
        assertTrue(outcome.get().isComplete(), outcome.toString());
        RouterTestRig.await(() -> rig.heldByAll() == 0, "nothing is held");
        assertEquals(rig.metrics(0).path("requests.association.given-up").asInt(), 1);
    }

    @Test
    public void retriesStayWithinATenthOfFirstTries() {
        RouterTestRig rig = rig(1, 1, 1, 2);
        rig.mServices.forEach(one -> RouterTestRig.fault(one.server(), Fault.FULL, 60_000, 0));
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
    public void partnerAtItsLimitDoesNotAffectOtherPartner() {
        RouterTestRig base =
                new RouterTestRig().withEngines(1, 1, new DecodeModel(4, 8000, 100, 100, false));
        mRig = base.withRouters(1);
        DeclarationPart part = base.part(RouterTestRig.classes());
        base.declared(part);
        List<Outcome> flood = new ArrayList<>();
        for (int request = 0; request < 45; request++) {
            flood.add(base.complete(0, RouterTestRig.CALLER, null, "log " + request, 20));
        }
        Outcome other = base.complete(0, RouterTestRig.TRUST_CALLER, null, "minutes", 20).get();
        assertTrue(other.isComplete(), other.toString());
        long done = flood.stream().filter(one -> one.mEnded).count();
        assertTrue(done < 25, "the other partner waited for " + done + " of the flood");
        flood.forEach(one -> assertTrue(one.get().isComplete(), one.toString()));
    }
}
