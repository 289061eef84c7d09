package org.troutpier.daemon;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.Fault;
import org.troutpier.testing.RawHttpClient;

/** Compares complete sessions on the wire with approved files. */
@UseReporter(QuietReporter.class)
public class SessionGoldenTest {

    private RouterTestRig mRig;

    @BeforeClass
    public void start() {
        mRig = new RouterTestRig().withEngines(1, 1).withServices(1).withRouters(1).declared();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mRig.close();
    }

    private String session(String request) {
        Address address = mRig.mRouters.get(0).callerAddress();
        return RawHttpClient.exchange(address.host(), address.port(), request);
    }

    private void verify(String request) throws IOException {
        String shown = request.length() > 2000 ? request.substring(0, 400) + "..." : request;
        verify(shown, session(request));
    }

    private static void verify(String request, String answer) {
        String scrubbed =
                answer.replaceAll(
                                "[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}",
                                "<id>")
                        .replaceAll("(-0)/[0-9a-f]+", "$1/<run>");
        Approvals.verify(
                ">>> caller\n" + request + "\n<<< router\n" + scrubbed,
                new Options().withReporter(new QuietReporter()));
    }

    private static String completion(String token, String more, String body) {
        return "POST /v1/completions HTTP/1.1\nHost: router\nConnection: close\n"
                + "Authorization: Bearer "
                + token
                + "\n"
                + more
                + "Content-Length: "
                + body.length()
                + "\n\n"
                + body;
    }

    private static String call(String method, String path, String token, String more) {
        return method
                + " /services/"
                + path
                + " HTTP/1.1\nHost: router\nConnection: close\nAuthorization: Bearer "
                + token
                + "\n"
                + more
                + "\n";
    }

    @Test
    public void streamedAnswer() throws IOException {
        verify(
                completion(
                        RouterTestRig.CALLER,
                        "",
                        "{\"prompt\":\"log\",\"max_tokens\":3,\"stream\":true}"));
    }

    @Test
    public void plainAnswer() throws IOException {
        verify(completion(RouterTestRig.CALLER, "", "{\"prompt\":\"log\",\"max_tokens\":3}"));
    }

    @Test
    public void keyedAnswerGivenAgain() throws IOException {
        String request =
                completion(
                        RouterTestRig.TRUST_CALLER,
                        "Idempotency-Key: golden\n",
                        "{\"prompt\":\"minutes\",\"max_tokens\":3}");
        String first = session(request);
        verify(request + "\n(twice)", first + "\n--- again\n" + session(request));
    }

    @Test
    public void serviceCall() throws IOException {
        verify(
                call(
                        "GET",
                        "status/machines/14?detail=full",
                        RouterTestRig.CALLER,
                        "Troutpier-Class: machine-status\n"));
    }

    @Test
    public void download() throws IOException {
        verify(
                call(
                        "GET",
                        "status/transcripts/7?bytes=300",
                        RouterTestRig.CALLER,
                        "Troutpier-Class: machine-status\n"));
    }

    @Test
    public void refusedMalformedBody() throws IOException {
        verify(completion(RouterTestRig.CALLER, "", "{\"prompt\":"));
    }

    @Test
    public void refusedWrongType() throws IOException {
        verify(
                completion(
                        RouterTestRig.CALLER, "", "{\"prompt\":\"log\",\"max_tokens\":\"many\"}"));
    }

    @Test
    public void refusedMalformedHead() throws IOException {
        verify("POST /v1/completions HTTP/1.1\nno colon here\n\n");
    }

    @Test
    public void refusedOversizedBody() throws IOException {
        verify(completion(RouterTestRig.CALLER, "", "x".repeat(100_001)).substring(0, 300));
    }

    @Test
    public void refusedOversizedChunkedBody() throws IOException {
        StringBuilder request =
                new StringBuilder(
                        "POST /v1/completions HTTP/1.1\nHost: router\nConnection: close\n"
                                + "Authorization: Bearer "
                                + RouterTestRig.CALLER
                                + "\nTransfer-Encoding: chunked\n\n");
        for (int chunk = 0; chunk < 30; chunk++) {
            request.append("2000\n").append("x".repeat(0x2000)).append("\n");
        }
        verify(request.toString());
    }

    @Test
    public void refusedUnknownClass() throws IOException {
        verify(
                completion(
                        RouterTestRig.CALLER,
                        "Troutpier-Class: no-such\n",
                        "{\"prompt\":\"log\"}"));
    }

    @Test
    public void refusedWrongToken() throws IOException {
        verify(completion("stolen", "", "{\"prompt\":\"log\"}"));
    }

    @Test
    public void refusedOperatorsToken() throws IOException {
        verify(completion(RouterTestRig.OPERATOR, "", "{\"prompt\":\"log\"}"));
    }

    @Test
    public void refusedWrongPartner() throws IOException {
        verify(call("GET", "status/machines/14", RouterTestRig.TRUST_CALLER, ""));
    }

    @Test
    public void refusedUnknownService() throws IOException {
        verify(call("GET", "weather/today", RouterTestRig.CALLER, ""));
    }

    @Test
    public void refusedUnknownPath() throws IOException {
        verify(
                "GET /etc/passwd HTTP/1.1\nHost: r\nAuthorization: Bearer "
                        + RouterTestRig.CALLER
                        + "\n\n");
    }

    @Test
    public void refusedSlowHead() throws IOException {
        verify("POST /v1/completions HTTP/1.1\nHost: router\n");
    }

    @Test
    public void refusedSlowBody() throws IOException {
        String whole =
                completion(RouterTestRig.CALLER, "", "{\"prompt\":\"log\",\"max_tokens\":3}");
        verify(whole.substring(0, whole.length() - 5));
    }

    @Test
    public void unansweredCallIsOutcomeUnknown() throws IOException {
        RouterTestRig.fault(mRig.mServices.get(0).server(), Fault.HANG, 4000, 0);
        String answer =
                session(
                        call(
                                "POST",
                                "status/orders",
                                RouterTestRig.CALLER,
                                "Troutpier-Class: parts-status\n"));
        RouterTestRig.fault(mRig.mServices.get(0).server(), Fault.HANG, 0, 0);
        verify("(a call that the service does not answer)", answer);
    }

    @Test(priority = 1)
    public void refusedTooManyConnections() throws IOException {
        Address address = mRig.mRouters.get(0).callerAddress();
        List<Socket> open = new ArrayList<>();
        for (int socket = 0; socket < RouterTestRig.LIMITS.connections(); socket++) {
            open.add(new Socket(address.host(), address.port()));
        }
        verify(completion(RouterTestRig.CALLER, "", "{\"prompt\":\"log\"}"));
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Test(priority = 2)
    public void nothingRefusedReachedAnUpstream() {
        RouterTestRig.await(() -> mRig.heldByAll() == 0, "nothing is held");
        long runs = mRig.mDecodes.get(0).server().ran().all().stream().count();
        Approvals.verify(
                "decode steps for streamed, plain and keyed sessions: " + runs,
                new Options().withReporter(new QuietReporter()));
    }
}
