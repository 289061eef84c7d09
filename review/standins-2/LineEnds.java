import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Whether streams whose lines end with CR LF reach clients. */
public final class LineEnds {

    private static final int EVENTS = 20;

    private static final AtomicInteger HANDLES = new AtomicInteger();

    private LineEnds() {}

    /** A sound model replica; its stream is chunked and has ids that rise by one. */
    private static void handle(
            Rig2.Replica replica,
            Rig2.Message request,
            InputStream in,
            OutputStream out,
            String stage,
            String lineEnd)
            throws IOException {
        Rig2.readBody(in, request);
        String json = "Content-Type: application/json\r\n";
        String target = request.target();
        if (target.equals("/troutpier/report")) {
            String report =
                    "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                            + "\"adapters\":[]}],\"utilization\":false,\"sequence\":0,\"queued\":0,"
                            + "\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"kv_handles\":0}";
            replica.answer(out, request, 200, json, report);
        } else if (target.equals("/troutpier/hold-take")) {
            String hold = "{\"hold\":\"h" + HANDLES.incrementAndGet() + "\"}";
            replica.answer(out, request, 200, json, hold);
        } else if (target.startsWith("/troutpier/")) {
            replica.answer(out, request, 200, json, "{}");
        } else if (request.header("Stage").equals("prefill")) {
            String handle =
                    "{\"kv_handle\":\"k" + HANDLES.incrementAndGet()
                            + "\",\"tokens\":100,\"version\":1}";
            replica.answer(out, request, 200, json, handle);
        } else if (stage.equals("prefill")) {
            replica.answer(out, request, 421, "", "");
        } else {
            stream(replica, request, out, lineEnd);
        }
    }

    private static void stream(
            Rig2.Replica replica, Rig2.Message request, OutputStream out, String lineEnd)
            throws IOException {
        replica.runs.incrementAndGet();
        replica.rig.log(
                "run at " + replica.id + " id=" + request.header("Attempt-Id") + " after="
                        + request.header("Last-Event-Id"));
        String head =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
                        + "\r\nReplica-Signature: " + replica.signature(request)
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        String last = request.header("Last-Event-Id");
        for (int id = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; id <= EVENTS; id++) {
            String event = "id: " + id + lineEnd + "data: token " + id + lineEnd + lineEnd;
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Rig2.sleep(20);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        replica.rig.log("run whole at " + replica.id + " id=" + request.header("Attempt-Id"));
    }

    public static void main(String[] arguments) throws Exception {
        int lost = 0;
        int whole = 0;
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            String lineEnd = rig.trouble ? "\r\n" : "\n";
            String[][] replicas = {{"i-p1", "prefill"}, {"i-d1", "decode"}, {"i-d2", "decode"}};
            for (String[] each : replicas) {
                rig.replica(
                        each[0],
                        "llm",
                        ",\"stage\":\"" + each[1] + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                + "\"adapters\":[]}]",
                        (replica, request, in, out) ->
                                handle(replica, request, in, out, each[1], lineEnd));
            }
            String stream = ",\"sticky\":true,\"gap_aim_ms\":300,\"resumable\":";
            rig.configure(
                    1,
                    Rig2.route("/lohu930/", "streaming", "llm", stream + "true")
                            + ","
                            + Rig2.route("/pufi791/", "streaming", "llm", stream + "false"),
                    Rig2.service("llm", Rig2.ENGINE),
                    4194304,
                    16384);
            rig.router(1);
            rig.awaitReady();
            for (int number = 0; number < 10; number++) {
                String path = number % 2 == 0 ? "/lohu930/2f" : "/pufi791/2f";
                String id = Rig2.newId();
                try (Rig2.Client client = rig.routers.get(0).connect()) {
                    // an answered request first, so that the connection is a kept one
                    client.send(Rig2.head("GET", "/none/", Rig2.newId(), ""));
                    rig.log("kept connection, first answer " + client.read(3000).status);
                    rig.log("sent id=" + id + " " + path);
                    client.send(
                            Rig2.head(
                                    "POST",
                                    path,
                                    id,
                                    "Model: m\r\nToken-Count: 100,50\r\n"
                                            + "Prompt-Prefix: aa:50,b" + number + ":50\r\n"
                                            + "Content-Length: 2\r\n")
                                    + "ab");
                    Rig2.Message answer = client.read(15000);
                    rig.log(
                            "answered id=" + id + " " + answer.status + " complete="
                                    + answer.complete + " bytes=" + answer.body.length);
                    if (answer.complete && answer.text().contains("id: " + EVENTS + lineEnd)) {
                        whole++;
                    } else if (!answer.complete && answer.body.length == 0) {
                        lost++;
                        rig.log("CLOSED without one event id=" + id);
                    }
                }
            }
            rig.log("streams=10 whole=" + whole + " closed without one event=" + lost);
        }
        // the rule allows three
        System.exit(lost > 3 ? 1 : whole > 0 ? 0 : 2);
    }
}
