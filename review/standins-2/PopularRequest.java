import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether a request that many clients send is served again after all replicas of its service
 * crashed once and came back.
 */
public final class PopularRequest {

    private static final int CLIENTS = 24;

    /** The bound {@code recover_s}. */
    private static final int RECOVER_MILLIS = 12_000;

    private PopularRequest() {}

    public static void main(String[] arguments) throws Exception {
        int[] before = new int[2];
        int[] after = new int[2];
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            AtomicBoolean down = new AtomicBoolean();
            Rig2.Handler handler =
                    (replica, request, in, out) -> {
                        Rig2.readBody(in, request);
                        replica.runs.incrementAndGet();
                        for (int slice = 0; slice < 9; slice++) {
                            Rig2.sleep(10);
                            if (down.get()) {
                                throw new IOException("crashed");
                            }
                        }
                        replica.succeed(out, request, "status");
                    };
            List<Rig2.Replica> replicas = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                replicas.add(rig.replica("i-web-" + number, "web", born(), handler));
            }
            rig.configure(
                    1,
                    Rig2.route("/pule252/", "idempotent", "web", ""),
                    Rig2.service("web", ""),
                    4194304,
                    16384);
            for (int number = 1; number <= 3; number++) {
                rig.router(number);
            }
            rig.awaitReady();
            AtomicReference<int[]> count = new AtomicReference<>(before);
            TreeMap<String, Integer> answers = new TreeMap<>();
            AtomicReference<String> phase = new AtomicReference<>("1 before");
            AtomicBoolean stopped = new AtomicBoolean();
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                Rig2.spawn(() -> poll(rig, number, count, phase, answers, stopped));
            }
            Rig2.sleep(5000);
            if (rig.trouble) {
                phase.set("2 replicas crash");
                crash(rig, replicas, down, handler);
                Rig2.sleep(4000);
            }
            phase.set("3 after the final fault");
            count.set(new int[2]);
            for (Rig2.Router router : rig.routers) {
                router.signal("KILL");
            }
            Rig2.sleep(1000);
            for (Rig2.Router router : rig.routers) {
                router.startProcess();
            }
            rig.awaitReady();
            Rig2.sleep(RECOVER_MILLIS);
            phase.set("4 after recover_s");
            count.set(after);
            Rig2.sleep(10_000);
            stopped.set(true);
            Rig2.sleep(500);
            synchronized (answers) {
                answers.forEach((what, times) -> rig.log("answers: " + what + ": " + times));
            }
            rig.log(
                    "served before " + before[0] + " of " + before[1] + ", more than recover_s after "
                            + after[0] + " of " + after[1]);
        }
        if (before[1] == 0 || after[1] == 0) {
            System.exit(2);
        }
        boolean broken = before[0] * 4 >= before[1] && after[0] * 4 < after[1];
        System.exit(broken ? 1 : 0);
    }

    private static String born() {
        return ",\"born\":" + System.currentTimeMillis();
    }

    /** All replicas crash at the same moment and start again 2 s later. */
    private static void crash(
            Rig2 rig, List<Rig2.Replica> replicas, AtomicBoolean down, Rig2.Handler handler)
            throws IOException {
        rig.log("all replicas crash");
        for (Rig2.Replica replica : replicas) {
            replica.listed = false;
            replica.listener.close();
        }
        down.set(true);
        Rig2.sleep(2000);
        down.set(false);
        for (Rig2.Replica each : replicas) {
            int port = each.listener.getLocalPort();
            rig.replicas.add(
                    new Rig2.Replica(rig, each.id, "web", born(), handler, port, "v1"));
        }
        rig.log("all replicas are back");
    }

    private static void poll(
            Rig2 rig,
            int client,
            AtomicReference<int[]> count,
            AtomicReference<String> phase,
            TreeMap<String, Integer> answers,
            AtomicBoolean stopped) {
        while (!stopped.get()) {
            int[] counted = count.get();
            String when = phase.get();
            String outcome;
            boolean served = false;
            try (Rig2.Client connection =
                    rig.routers.get(client % rig.routers.size()).connect()) {
                connection.send(Rig2.head("GET", "/pule252/status", Rig2.newId(), ""));
                Rig2.Message answer = connection.read(15000);
                served = answer.status == 200 && answer.complete;
                outcome =
                        answer.status
                                + (served ? "" : answer.text().replaceAll(".*(TP-\\d+).*", " $1"));
            } catch (IOException exception) {
                outcome = exception.getClass().getSimpleName();
            }
            synchronized (answers) {
                answers.merge(when + " " + outcome, 1, Integer::sum);
                counted[0] += served ? 1 : 0;
                counted[1]++;
            }
            Rig2.sleep(100 + ThreadLocalRandom.current().nextInt(100));
        }
    }
}
