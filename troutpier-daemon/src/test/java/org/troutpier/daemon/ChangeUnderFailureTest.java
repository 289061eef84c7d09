package org.troutpier.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpReply;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.standins.fault.Fault;

/** End-to-end tests of declaration changes under failures of members and the table. */
public class ChangeUnderFailureTest {

    private RouterTestRig mRig;

    @AfterMethod(alwaysRun = true)
    public void close() {
        if (mRig != null) {
            mRig.close();
            mRig = null;
        }
    }

    private RouterTestRig rig(int routers) {
        mRig =
                new RouterTestRig()
                        .withEngines(1, 1)
                        .withServices(1)
                        .withRouters(routers)
                        .declared();
        return mRig;
    }

    private static String set(int millis) {
        return "set class repair-note deadlineMillis = " + millis;
    }

    private static CompletableFuture<HttpReply> propose(RouterTestRig rig, int router, int millis) {
        return rig.mCalls.call(
                HttpCall.of("POST", rig.operatorUrl(router, "/v1/command"))
                        .withHeader("Authorization", "Bearer " + RouterTestRig.OPERATOR)
                        .withJson(Map.of("text", set(millis)))
                        .withTimeout(20_000));
    }

    private static int deadlineInForce(RouterTestRig rig, int router) {
        JsonNode declarations =
                rig.call(
                                HttpCall.of("GET", rig.operatorUrl(router, "/v1/declarations"))
                                        .withHeader(
                                                "Authorization",
                                                "Bearer " + RouterTestRig.OPERATOR))
                        .as(JsonNode.class);
        for (JsonNode declared : declarations.path("classes")) {
            if (declared.path("name").asText().equals("repair-note")) {
                return declared.path("deadlineMillis").asInt();
            }
        }
        throw new IllegalStateException("no class repair-note in " + declarations);
    }

    private static String code(HttpReply reply) {
        return reply.headers().get("Troutpier-Code", "accepted");
    }

    @Test
    public void acceptedChangeIsInForceEverywhere() {
        RouterTestRig rig = rig(4);
        for (int change = 0; change < 20; change++) {
            int value = 30_000 + change;
            assertEquals(code(propose(rig, change % 4, value).join()), "accepted");
            for (int router = 0; router < 4; router++) {
                assertEquals(deadlineInForce(rig, router), value, "router " + router);
            }
        }
    }

    @Test
    public void concurrentChangesAreSerializedOrOneIsRefused() {
        RouterTestRig rig = rig(2);
        for (int round = 0; round < 10; round++) {
            CompletableFuture<HttpReply> first = propose(rig, 0, 40_000 + round);
            CompletableFuture<HttpReply> second = propose(rig, 1, 50_000 + round);
            List<HttpReply> replies = List.of(first.join(), second.join());
            Set<String> versions = new HashSet<>();
            for (HttpReply reply : replies) {
                if (reply.isSuccessful()) {
                    versions.add(reply.as(JsonNode.class).path("version").asText());
                } else {
                    assertTrue(code(reply).matches("TP-40[12]"), reply.text());
                }
            }
            long accepted = replies.stream().filter(HttpReply::isSuccessful).count();
            assertEquals(versions.size(), accepted, "no version is told twice");
            assertEquals(deadlineInForce(rig, 0), deadlineInForce(rig, 1));
        }
    }

    @Test
    public void changeIsRefusedWhileTableIsUnavailable() {
        RouterTestRig rig = rig(2);
        int before = deadlineInForce(rig, 0);
        RouterTestRig.fault(rig.mTable.server(), Fault.OUTAGE, 60_000, 0);
        assertEquals(code(propose(rig, 0, 33_333).join()), "TP-124");
        assertEquals(deadlineInForce(rig, 0), before);
        assertEquals(deadlineInForce(rig, 1), before);
    }

    @Test
    public void commitWithLostAcknowledgementIsAccepted() {
        RouterTestRig rig = rig(2);
        RouterTestRig.fault(rig.mTable.server(), Fault.LOST_ACK, 60_000, 0);
        HttpReply reply = propose(rig, 0, 34_444).join();
        assertEquals(code(reply), "accepted", reply.text());
        assertEquals(deadlineInForce(rig, 1), 34_444);
    }

    @Test
    public void changeDuringOutageIsInForceEverywhereOrNowhere() throws Exception {
        RouterTestRig rig = rig(3);
        for (int round = 0; round < 6; round++) {
            int value = 60_000 + round;
            CompletableFuture<HttpReply> told = propose(rig, round % 3, value);
            RouterTestRig.fault(
                    rig.mTable.server(), round % 2 == 0 ? Fault.OUTAGE : Fault.HANG, 700, 0);
            HttpReply reply = told.join();
            boolean refused = "not-run".equals(reply.headers().get("Troutpier-Family"));
            RouterTestRig.await(
                    () ->
                            deadlineInForce(rig, 0) == deadlineInForce(rig, 1)
                                    && deadlineInForce(rig, 1) == deadlineInForce(rig, 2),
                    "all routers agree");
            if (reply.isSuccessful()) {
                assertEquals(deadlineInForce(rig, 0), value);
            } else if (refused) {
                assertFalse(deadlineInForce(rig, 0) == value, reply.text());
            }
        }
    }

    @Test
    public void unresponsiveMemberIsReportedAndExcludedOnceGone() {
        RouterTestRig rig = rig(3);
        RouterTestRig.fault(rig.mInstances.server(), Fault.OUTAGE, 60_000, 0);
        rig.mRouters.get(2).close();
        HttpReply refused = propose(rig, 0, 35_555).join();
        assertEquals(code(refused), "TP-402", refused.text());
        assertTrue(refused.text().contains("router-3"), refused.text());
        assertEquals(deadlineInForce(rig, 0), 20_000);
        assertEquals(deadlineInForce(rig, 1), 20_000);
        RouterTestRig.fault(rig.mInstances.server(), Fault.OUTAGE, 0, 0);
        RouterTestRig.await(
                () -> propose(rig, 0, 36_666).join().isSuccessful(), "the member is left out");
        assertEquals(deadlineInForce(rig, 1), 36_666);
    }

    @Test
    public void joiningRouterHasLatestChange() {
        RouterTestRig rig = rig(2);
        rig.addRouter();
        int value = 70_000;
        int accepted = 0;
        boolean ready = false;
        while (!ready) {
            if (propose(rig, value % 2, ++value).join().isSuccessful()) {
                accepted = value;
            }
            ready = rig.call(HttpCall.of("GET", rig.operatorUrl(2, "/readyz"))).isSuccessful();
            if (ready) {
                assertTrue(
                        deadlineInForce(rig, 2) >= accepted,
                        deadlineInForce(rig, 2) + " < " + accepted);
            }
        }
    }

    @Test
    public void invalidCommandIsRefusedWithReason() {
        RouterTestRig rig = rig(1);
        assertEquals(
                code(rig.command(0, RouterTestRig.OPERATOR, "set class nothing x = 1")), "TP-104");
        assertEquals(
                code(rig.command(0, RouterTestRig.OPERATOR, "set class repair-note x = 1")),
                "TP-100");
        HttpReply range =
                rig.command(0, RouterTestRig.OPERATOR, "set class repair-note deadlineMillis = 0");
        assertEquals(code(range), "TP-400", range.text());
        HttpReply syntax = rig.command(0, RouterTestRig.OPERATOR, "show requests were class = x");
        assertTrue(syntax.text().contains("column 15"), syntax.text());
        HttpReply others = rig.command(0, RouterTestRig.TRUST_OPERATOR, "drain decode-1");
        assertEquals(code(others), "TP-103", others.text());
        assertEquals(code(rig.command(0, RouterTestRig.CALLER, "show routers")), "TP-102");
    }

    @Test
    public void operatorSeesOnlyItsOwnPartner() {
        RouterTestRig rig = rig(1);
        rig.complete(0, RouterTestRig.TRUST_CALLER, null, "minutes", 2000);
        RouterTestRig.await(
                () ->
                        rig.command(
                                        0,
                                        RouterTestRig.TRUST_OPERATOR,
                                        "show requests where state = decode")
                                .text()
                                .contains("summary"),
                "the trust sees its request");
        HttpReply seen = rig.command(0, RouterTestRig.OPERATOR, "show requests");
        assertEquals(seen.as(JsonNode.class).path("rows").size(), 0, seen.text());
        String upstreams = rig.command(0, RouterTestRig.TRUST_OPERATOR, "show upstreams").text();
        assertFalse(upstreams.contains("decode-1"), upstreams);
        HttpReply events =
                rig.call(
                        HttpCall.of("GET", rig.operatorUrl(0, "/events"))
                                .withHeader("Authorization", "Bearer " + RouterTestRig.OPERATOR));
        assertFalse(events.text().contains("trust/summary"), events.text());
    }

    @Test
    public void drainedUpstreamGetsNoNewWork() {
        RouterTestRig rig = rig(2);
        assertTrue(rig.command(0, RouterTestRig.OPERATOR, "drain service-2").isSuccessful());
        RouterTestRig.Outcome outcome = rig.service(1, "machine-status", null, "/m", "m").get();
        assertEquals(outcome.mCode, "TP-122", outcome.toString());
        assertTrue(rig.command(1, RouterTestRig.OPERATOR, "undrain service-2").isSuccessful());
        assertEquals(rig.service(0, "machine-status", null, "/m", "m").get().mStatus, 200);
    }

    @Test
    public void malformedPeerFrameIsRefusedAndCounted() throws IOException {
        RouterTestRig rig = rig(1);
        try (Socket socket = new Socket("127.0.0.1", rig.mPeerPorts.get(0))) {
            send(socket, "not a message".getBytes(StandardCharsets.UTF_8));
            assertClosed(socket);
        }
        assertEquals(rig.metrics(0).path("peer.refused").asInt(), 1);
    }

    @Test
    public void peerWithoutSecretIsRefused() throws IOException {
        RouterTestRig rig = rig(1);
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        try (Socket socket = new Socket("127.0.0.1", rig.mPeerPorts.get(0))) {
            PeerMessage hello =
                    new PeerMessage.Hello("router-9~stranger", "nadi", "127.0.0.1:9", "nonce");
            send(socket, mapper.writeValueAsBytes(hello));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readFully(new byte[in.readInt()]);
            send(socket, mapper.writeValueAsBytes(new PeerMessage.Proof("guessed")));
            assertClosed(socket);
        }
        assertEquals(rig.metrics(0).path("peer.refused").asInt(), 1);
        assertFalse(
                rig.command(0, RouterTestRig.OPERATOR, "show routers").text().contains("router-9"));
    }

    private static void send(Socket socket, byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    private static void assertClosed(Socket socket) throws IOException {
        socket.setSoTimeout(5000);
        assertEquals(socket.getInputStream().read(), -1, "the connection is closed");
    }
}
