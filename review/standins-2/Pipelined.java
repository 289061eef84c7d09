import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Whether requests that a client sends one right after the other on one connection are answered. */
public final class Pipelined {

    private static final int CONNECTIONS = 10;

    private Pipelined() {}

    public static void main(String[] arguments) throws Exception {
        int lost = 0;
        int answered = 0;
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            Set<String> run = ConcurrentHashMap.newKeySet();
            Rig2.Handler handler =
                    (replica, request, in, out) -> {
                        Rig2.readBody(in, request);
                        run.add(request.header("Attempt-Id"));
                        rig.log("run at " + replica.id + " id=" + request.header("Attempt-Id"));
                        Rig2.sleep(86);
                        replica.succeed(out, request, "done");
                    };
            for (int number = 1; number <= 3; number++) {
                rig.replica("i-web-" + number, "web", "", handler);
            }
            rig.configure(
                    1,
                    Rig2.route("/pule252/", "idempotent", "web", ""),
                    Rig2.service("web", ""),
                    4194304,
                    16384);
            rig.router(1);
            rig.awaitReady();
            for (int number = 0; number < CONNECTIONS; number++) {
                try (Rig2.Client client = rig.routers.get(0).connect()) {
                    client.send(Rig2.head("GET", "/pule252/1", Rig2.newId(), ""));
                    rig.log("kept connection, first answer " + client.read(5000).status);
                    String first = Rig2.newId();
                    String second = Rig2.newId();
                    rig.log("sent id=" + first + ", then id=" + second);
                    client.send(Rig2.head("GET", "/pule252/2", first, ""));
                    if (!rig.trouble) {
                        answered += read(rig, client, first) ? 1 : 0;
                    } else {
                        Rig2.sleep(30);
                    }
                    client.send(Rig2.head("GET", "/pule252/3", second, ""));
                    if (rig.trouble) {
                        boolean came = read(rig, client, first);
                        answered += came ? 1 : 0;
                        if (!came && run.contains(first)) {
                            lost++;
                            rig.log("CLOSED without an answer, though run: id=" + first);
                        }
                    }
                    answered += read(rig, client, second) ? 1 : 0;
                }
            }
            rig.log(
                    "requests=" + 2 * CONNECTIONS + " answered=" + answered
                            + " passed on, then closed without an answer=" + lost);
        }
        // the rule allows three
        System.exit(lost > 3 ? 1 : answered > 0 ? 0 : 2);
    }

    private static boolean read(Rig2 rig, Rig2.Client client, String id) {
        try {
            Rig2.Message answer = client.read(5000);
            rig.log("answered id=" + id + " " + answer.status);
            return answer.header("Attempt-Id").equals(id) && answer.complete;
        } catch (IOException exception) {
            rig.log("no answer id=" + id + " " + exception);
            return false;
        }
    }
}
