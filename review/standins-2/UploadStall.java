import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Whether a router answers in time while clients send bodies of the largest allowed size. */
public final class UploadStall {

    private static final int UPLOADERS = 16;

    private static final int ROUNDS = 4;

    private static final int BODY_BYTES = 4_000_000;

    /** Pieces of one body, one each 25 ms. */
    private static final int PIECES = 60;

    private static final int PIECE_MILLIS = 25;

    private static final int TIMEOUT_MILLIS = 3000;

    /** How much later than the timeout the rule expects an answer. */
    private static final int SLACK_MILLIS = 500;

    private UploadStall() {}

    public static void main(String[] arguments) throws Exception {
        int[] open = new int[2];
        TreeMap<String, Integer> answers = new TreeMap<>();
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            Rig2.Handler handler =
                    (replica, request, in, out) -> {
                        Rig2.readBody(in, request);
                        Rig2.sleep(86);
                        replica.succeed(out, request, "done");
                    };
            for (int number = 1; number <= 3; number++) {
                rig.replica("i-web-" + number, "web", "", handler);
            }
            String timeout = "\"timeout_ms\":" + TIMEOUT_MILLIS;
            rig.configure(
                    1,
                    Rig2.route("/lohu930/", "non_idempotent", "web", "")
                                    .replace("\"timeout_ms\":14000", timeout)
                            + ","
                            + Rig2.route("/pule252/", "idempotent", "web", ""),
                    Rig2.service("web", ""),
                    4194304,
                    16384);
            rig.router(1);
            rig.awaitReady();
            AtomicBoolean stopped = new AtomicBoolean();
            for (int client = 0; client < 10; client++) {
                Rig2.spawn(() -> callSmall(rig, open, answers, stopped));
            }
            Rig2.sleep(3000);
            List<Thread> uploaders = new ArrayList<>();
            int size = rig.trouble ? BODY_BYTES : 600;
            for (int client = 0; client < UPLOADERS; client++) {
                uploaders.add(Rig2.spawn(() -> upload(rig, size, answers)));
            }
            for (Thread each : uploaders) {
                each.join();
            }
            Rig2.sleep(2000);
            stopped.set(true);
            Rig2.sleep(4000);
            synchronized (answers) {
                answers.forEach((what, times) -> rig.log("answers: " + what + ": " + times));
            }
            rig.log(
                    "router alive=" + rig.routers.get(0).process.isAlive()
                            + " unanswered at timeout_ms " + open[0] + ", half a second later "
                            + open[1]);
        }
        System.exit(open[0] > 0 && open[1] * 2 > open[0] ? 1 : answers.isEmpty() ? 2 : 0);
    }

    /** Sends small requests, one after the other, on a kept connection. */
    private static void callSmall(
            Rig2 rig, int[] open, TreeMap<String, Integer> answers, AtomicBoolean stopped)
            throws IOException {
        Rig2.Client client = null;
        while (!stopped.get()) {
            String outcome;
            double sent = rig.millis();
            String id = Rig2.newId();
            try {
                if (client == null) {
                    client = rig.routers.get(0).connect();
                }
                sent = rig.millis();
                client.send(
                        Rig2.head("POST", "/lohu930/2f", id, "Content-Length: 2\r\n") + "ab");
                Rig2.Message answer = client.read(14000);
                outcome = "" + answer.status;
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    client.close();
                    client = null;
                }
            } catch (IOException exception) {
                outcome = exception.getClass().getSimpleName();
                client = null;
            }
            double millis = rig.millis() - sent;
            synchronized (answers) {
                open[0] += millis > TIMEOUT_MILLIS ? 1 : 0;
                open[1] += millis > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
                answers.merge("small " + outcome, 1, Integer::sum);
            }
            if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
                rig.log(String.format("LATE id=%s %s after %.0f ms", id, outcome, millis));
            }
            Rig2.sleep(150);
        }
    }

    private static void upload(Rig2 rig, int size, TreeMap<String, Integer> answers) {
        for (int round = 0; round < ROUNDS; round++) {
            String outcome;
            try (Rig2.Client client = rig.routers.get(0).connect()) {
                client.send(
                        Rig2.head(
                                "POST",
                                "/pule252/2f",
                                Rig2.newId(),
                                "Content-Length: " + size + "\r\n"));
                byte[] piece = new byte[size / PIECES];
                for (int number = 0; number < PIECES; number++) {
                    client.out.write(piece);
                    Rig2.sleep(PIECE_MILLIS);
                }
                client.out.write(new byte[size - PIECES * piece.length]);
                outcome = "" + client.read(14000).status;
            } catch (IOException exception) {
                outcome = exception.getClass().getSimpleName();
            }
            synchronized (answers) {
                answers.merge("upload " + outcome, 1, Integer::sum);
            }
        }
    }
}
