import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Clients post bodies just below max_body_bytes at a steady pace, while others send small requests
 * to another service. Then come two bursts of the site's standard days at once: all classes for 4 s
 * and the class of the large bodies for 5 s. The rule is checked on the small requests only, from 8
 * s after the bursts on.
 */
final class Uploads {

    static final int TIMEOUT = 1500;

    static final List<String> ZONES = List.of("z0", "z1", "z2");

    /** After a burst: 5 s in which a machine may count as choked, then contact_ms. */
    static final int EXCUSED = 8000;

    /** A request as its client saw it. */
    static final class Sent {
        final String id;
        final boolean upload;
        final long at;
        volatile long endedAt = -1;
        volatile String outcome = "none";
        volatile String router = "none";

        Sent(String id, boolean upload) {
            this.id = id;
            this.upload = upload;
            this.at = Rig.now();
        }
    }

    static final List<Sent> SENT = Collections.synchronizedList(new ArrayList<>());

    /** One client, which keeps its connections for further requests. */
    static final class Client {
        final int number;
        final String zone;
        final List<Kept> idle = new ArrayList<>();

        Client(int number, String zone) {
            this.number = number;
            this.zone = zone;
        }

        /** Returns a connection that has rested for less than four fifths of idle_timeout_ms. */
        synchronized Kept take() throws IOException {
            while (!idle.isEmpty()) {
                Kept kept = idle.remove(idle.size() - 1);
                if (Rig.now() - kept.since < 11_000) {
                    return kept;
                }
                kept.socket.close();
            }
            return null;
        }

        synchronized void keep(Kept connection) {
            connection.since = Rig.now();
            idle.add(connection);
        }
    }

    /** A connection and the router to which the platform passed it. */
    static final class Kept {
        final Socket socket;
        final String router;
        volatile long since;

        Kept(Socket socket, String router) {
            this.socket = socket;
            this.router = router;
        }
    }

    static void send(Client client, Rig.Entry entry, Sent sent, String path, byte[] body) {
        Socket socket = null;
        try {
            Kept kept = client.take();
            if (kept == null) {
                Rig.Router router = entry.choose(client.zone, client.number);
                sent.router = router.name;
                kept = new Kept(Rig.connect(router.caller, 3000), router.name);
            }
            sent.router = kept.router;
            socket = kept.socket;
            socket.setSoTimeout(3_000);
            OutputStream out = socket.getOutputStream();
            out.write(
                    Rig.ascii(
                            "POST "
                                    + path
                                    + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                                    + sent.id
                                    + "\r\nDeadline-Ms: 3000\r\nContent-Length: "
                                    + body.length
                                    + "\r\n\r\n"));
            out.write(body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Rig.Message answer = Rig.readHead(in);
            if (answer == null) {
                sent.outcome = "closed";
                socket.close();
            } else {
                Rig.readBody(in, answer, true);
                sent.outcome = String.valueOf(answer.status());
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    socket.close();
                } else {
                    client.keep(kept);
                }
            }
        } catch (IOException exception) {
            sent.outcome = exception instanceof java.net.SocketTimeoutException ? "gaveup" : "closed";
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // closed already
            }
        }
        sent.endedAt = Rig.now();
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        double uploads = 5;
        int size = 4_000_000;
        int work = 450;
        double smalls = 25;
        Path record = Path.of(System.getProperty("record"));
        Rig.Store store = new Rig.Store();
        Rig.Server port = store.open("127.0.0.1", null);
        store.put(
                "op",
                "",
                "config",
                Rig.configuration(
                        1,
                        List.of(
                                Rig.route("files", "/files/", "non_idempotent", TIMEOUT, 900, "\"priority\":2,\"service\":\"files\",\"max_attempts\":1"),
                                Rig.route("status", "/status/", "non_idempotent", TIMEOUT, 300, "\"priority\":2,\"service\":\"web\",\"max_attempts\":1")),
                        List.of(Rig.plainService("files"), Rig.plainService("web"))));
        for (int index = 0; index < 9; index++) {
            new Rig.Plain(store, "f" + index, "files", "z" + index % 3, 6, work);
            new Rig.Plain(store, "w" + index, "web", "z" + index % 3, 6, 60);
        }
        List<Rig.Router> routers = Rig.startRouters(ZONES, port.address(), record);
        Rig.sleep(15_000);
        Rig.note("traffic starts");
        Rig.Entry entry = new Rig.Entry(routers);
        List<Client> clients = new ArrayList<>();
        for (int index = 0; index < 30 * ZONES.size(); index++) {
            clients.add(new Client(index, ZONES.get(index % ZONES.size())));
        }
        byte[] large = new byte[size];
        byte[] small = new byte[200];
        long start = Rig.now();
        long burstFrom = start + 8000;
        long burstUntil = burstFrom + 5000;
        Random random = new Random(7);
        double nextUpload = start;
        double nextSmall = start;
        int number = 0;
        while (Rig.now() < start + 40_000) {
            long now = Rig.now();
            boolean burst = trouble && now >= burstFrom;
            double times = burst && now < burstFrom + 4000 ? 2.2 : 1;
            double classTimes = burst && now < burstUntil ? 2 : 1;
            if (now >= nextUpload) {
                nextUpload += 1000 / (uploads * times * classTimes * ZONES.size());
                Client client = clients.get(random.nextInt(clients.size()));
                Sent sent = new Sent("u" + number++, true);
                SENT.add(sent);
                Rig.spawn(() -> send(client, entry, sent, "/files/x", large));
            }
            if (now >= nextSmall) {
                nextSmall += 1000 / (smalls * times * ZONES.size());
                Client client = clients.get(random.nextInt(clients.size()));
                Sent sent = new Sent("s" + number++, false);
                SENT.add(sent);
                Rig.spawn(() -> send(client, entry, sent, "/status/x", small));
            }
            Rig.sleep(1);
        }
        Rig.sleep(4_000);
        judge(routers, record, burstFrom, burstUntil);
    }

    private static void judge(List<Rig.Router> routers, Path record, long from, long until) throws Exception {
        Map<String, Long> ran = new TreeMap<>();
        for (Rig.Run run : Rig.RUNS) {
            ran.put(run.id(), run.at);
        }
        int cut = 0;
        int unanswered = 0;
        int stillUnanswered = 0;
        int refusedButRun = 0;
        for (Sent each : SENT) {
            long end = each.endedAt < 0 ? Long.MAX_VALUE : each.endedAt;
            Rig.note(
                    (each.upload ? "upload " : "small ")
                            + each.id
                            + " router="
                            + each.router
                            + " sent="
                            + each.at
                            + " run="
                            + ran.get(each.id)
                            + " outcome="
                            + each.outcome
                            + " ended="
                            + each.endedAt);
            if (each.outcome.equals("closed") && ran.containsKey(each.id) && end < each.at + 3000) {
                cut++;
            }
            if (ran.containsKey(each.id) && (each.outcome.equals("503") || each.outcome.equals("429") || each.outcome.equals("408"))) {
                refusedButRun++;
            }
            if (!each.upload && each.at > until + EXCUSED && end > each.at + TIMEOUT) {
                unanswered++;
                if (end > each.at + TIMEOUT + 500) {
                    stillUnanswered++;
                }
            }
        }
        for (boolean upload : new boolean[] {true, false}) {
            Rig.note(
                    (upload ? "uploads" : "small requests")
                            + " before the burst "
                            + outcomes(upload, 0, from)
                            + ", in it "
                            + outcomes(upload, from, until)
                            + ", just after it "
                            + outcomes(upload, until, until + EXCUSED)
                            + ", from 8 s after it "
                            + outcomes(upload, until + EXCUSED, Long.MAX_VALUE));
        }
        Rig.note("small requests without an answer at their route's timeout_ms: " + unanswered + ", also 0.5 s later: " + stillUnanswered);
        Rig.note("requests cut that were passed on to a replica: " + cut + "; refused as not run, but run: " + refusedButRun);
        for (Rig.Router router : routers) {
            Rig.note(router.name + " runs: " + router.process.isAlive());
        }
        boolean broken = stillUnanswered >= 8 && stillUnanswered * 2 > unanswered;
        Rig.finish(broken ? 1 : 0, record);
    }

    private static Map<String, Long> outcomes(boolean upload, long from, long until) {
        return SENT.stream()
                .filter(each -> each.upload == upload && each.at >= from && each.at < until)
                .collect(Collectors.groupingBy(each -> each.outcome, TreeMap::new, Collectors.counting()));
    }
}
