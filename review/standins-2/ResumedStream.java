import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Whether a stream of a plain service goes on where its client lost it. */
public final class ResumedStream {

    private static final int EVENTS = 40;

    private static final int STREAMS = 10;

    private ResumedStream() {}

    /** A sound replica of a service without engines, whose streams may be taken up again. */
    private static void stream(
            Rig2.Replica replica, Rig2.Message request, InputStream in, OutputStream out)
            throws IOException {
        Rig2.readBody(in, request);
        String last = request.header("Last-Event-Id");
        replica.rig.log(
                "run at " + replica.id + " id=" + request.header("Attempt-Id") + " Last-Event-Id="
                        + (last.isEmpty() ? "none" : last));
        String head =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
                        + "\r\nReplica-Signature: " + replica.signature(request)
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int id = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; id <= EVENTS; id++) {
            String event = "id: " + id + "\ndata: piece " + id + " of a summary\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Rig2.sleep(10);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /**
     * Passes bytes on, and resets every second connection of clients after some bytes of its answer.
     */
    private static ServerSocket proxy(Rig2.Router router, int resetAfter) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Rig2.spawn(
                () -> {
                    for (int number = 0; ; number++) {
                        int most = number % 2 == 0 ? resetAfter : Integer.MAX_VALUE;
                        Socket client = listener.accept();
                        Socket server = new Socket(router.host, router.port);
                        Rig2.spawn(() -> copy(client, server, Integer.MAX_VALUE));
                        Rig2.spawn(() -> copy(server, client, most));
                    }
                });
        return listener;
    }

    private static void copy(Socket from, Socket to, int most) throws IOException {
        byte[] bytes = new byte[100];
        int copied = 0;
        try {
            int read = from.getInputStream().read(bytes);
            while (read >= 0 && copied < most) {
                to.getOutputStream().write(bytes, 0, read);
                copied += read;
                read = from.getInputStream().read(bytes);
            }
            if (copied >= most) {
                Rig2.sleep(100);
                to.setSoLinger(true, 0);
            }
        } finally {
            from.close();
            to.close();
        }
    }

    /** Returns the ids of the whole events in what a client received. */
    private static List<Integer> ids(String text) {
        List<Integer> ids = new ArrayList<>();
        int end = text.lastIndexOf("\n\n");
        if (end >= 0) {
            for (String line : text.substring(0, end).split("\n")) {
                if (line.startsWith("id: ")) {
                    ids.add(Integer.parseInt(line.substring(4)));
                }
            }
        }
        return ids;
    }

    /** Reads until the connection ends. */
    private static String readAll(Rig2.Client client) {
        StringBuilder text = new StringBuilder();
        try {
            client.socket.setSoTimeout(15000);
            int each = client.in.read();
            while (each >= 0) {
                text.append((char) each);
                each = client.in.read();
            }
        } catch (IOException exception) {
            // reset: what came before counts
        }
        return text.toString();
    }

    public static void main(String[] arguments) throws Exception {
        int broken = 0;
        int whole = 0;
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            for (int number = 1; number <= 3; number++) {
                rig.replica("i-web-" + number, "web", "", ResumedStream::stream);
            }
            rig.configure(
                    1,
                    Rig2.route(
                            "/lohu930/",
                            "streaming",
                            "web",
                            ",\"resumable\":true,\"gap_aim_ms\":300"),
                    Rig2.service("web", ""),
                    4194304,
                    16384);
            for (int number = 1; number <= 3; number++) {
                rig.router(number);
            }
            rig.awaitReady();
            ServerSocket proxy = proxy(rig.routers.get(0), rig.trouble ? 900 : Integer.MAX_VALUE);
            for (int number = 0; number < STREAMS; number++) {
                String first = Rig2.newId();
                rig.log("sent id=" + first);
                List<Integer> received;
                try (Rig2.Client client = new Rig2.Client("127.0.0.1", proxy.getLocalPort())) {
                    client.send(Rig2.head("GET", "/lohu930/2f", first, "Connection: close\r\n"));
                    received = ids(readAll(client));
                }
                rig.log("received id=" + first + " events " + range(received));
                if (received.size() < EVENTS) {
                    String again = Rig2.newId();
                    int last = received.isEmpty() ? 0 : received.get(received.size() - 1);
                    String more =
                            last == 0
                                    ? ""
                                    : "Last-Event-Id: " + last + "\r\nResumes: " + first + "\r\n";
                    rig.log("sent id=" + again + " Last-Event-Id=" + last);
                    try (Rig2.Client client = rig.routers.get(1).connect()) {
                        client.send(Rig2.head("GET", "/lohu930/2f", again, more));
                        Rig2.Message answer = client.read(15000);
                        List<Integer> rest = ids(answer.text());
                        rig.log(
                                "received id=" + again + " " + answer.status + " events "
                                        + range(rest));
                        received.addAll(rest);
                    }
                }
                boolean inOrder = true;
                for (int each = 1; each < received.size(); each++) {
                    inOrder &= received.get(each) == received.get(each - 1) + 1;
                }
                if (!inOrder) {
                    broken++;
                    rig.log("PIECES repeated or missing");
                } else if (received.size() == EVENTS) {
                    whole++;
                }
            }
            rig.log("streams=" + STREAMS + " whole=" + whole + " out of order=" + broken);
        }
        System.exit(broken > 0 ? 1 : whole > 0 ? 0 : 2);
    }

    private static String range(List<Integer> ids) {
        return ids.isEmpty() ? "none" : ids.get(0) + " to " + ids.get(ids.size() - 1);
    }
}
