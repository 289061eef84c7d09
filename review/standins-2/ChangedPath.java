import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Whether the path and query of a request reach the replica unchanged. The clients have no key and
 * use a public route; the other route wants a key.
 */
public final class ChangedPath {

    private ChangedPath() {}

    public static void main(String[] arguments) throws Exception {
        int broken = 0;
        int served = 0;
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            Map<String, String> run = new ConcurrentHashMap<>();
            Rig2.Handler handler =
                    (replica, request, in, out) -> {
                        Rig2.readBody(in, request);
                        run.put(request.header("Attempt-Id"), request.target());
                        rig.log(
                                "run at " + replica.id + " id=" + request.header("Attempt-Id") + " "
                                        + request.method() + " " + request.target() + " Tenant="
                                        + request.header("Tenant"));
                        replica.succeed(out, request, "done");
                    };
            for (int number = 1; number <= 3; number++) {
                rig.replica("i-web-" + number, "web", "", handler);
            }
            rig.configurationFields =
                    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k-5f2a91c07b\"]}],";
            rig.configure(
                    1,
                    Rig2.route("/lohu930/", "non_idempotent", "web", ",\"public\":true")
                            + ","
                            + Rig2.route("/pule252/", "non_idempotent", "web", ""),
                    Rig2.service("web", ""),
                    4194304,
                    16384);
            rig.router(1);
            rig.awaitReady();
            try (Rig2.Client client = rig.routers.get(0).connect()) {
                String target = "/pule252/2f";
                client.send(Rig2.head("POST", target, Rig2.newId(), "Content-Length: 0\r\n"));
                rig.log("without a key, sent as it is: " + target + " " + client.read(5000).status);
            }
            // what is sent with trouble, and without
            Map<String, String> targets = new LinkedHashMap<>();
            targets.put("/lohu930/2f?", "/lohu930/2f");
            targets.put("/lohu930/a/../b", "/lohu930/b");
            targets.put("/lohu930/./2f", "/lohu930/2f");
            targets.put("/lohu930/../pule252/2f", "/lohu930/pule252/2f");
            targets.put("/lohu930/2f?q=\u00e9", "/lohu930/2f?q=%E9");
            targets.put("/lohu930/2f?q=1", "/lohu930/2f?q=1");
            for (int round = 0; round < 3; round++) {
                for (Map.Entry<String, String> each : targets.entrySet()) {
                    String target = rig.trouble ? each.getKey() : each.getValue();
                    String id = Rig2.newId();
                    rig.log("sent id=" + id + " POST " + target);
                    try (Rig2.Client client = rig.routers.get(0).connect()) {
                        client.send(
                                Rig2.head("POST", target, id, "Content-Length: 2\r\n") + "ab");
                        Rig2.Message answer = client.read(5000);
                        rig.log("answered id=" + id + " " + answer.status);
                        served += answer.status == 200 ? 1 : 0;
                    }
                    String seen = run.get(id);
                    if (seen != null && !seen.equals(target)) {
                        broken++;
                        rig.log("CHANGED id=" + id + " sent " + target + " run " + seen);
                    }
                }
            }
            rig.log("served=" + served + " changed=" + broken);
        }
        System.exit(broken > 0 ? 1 : served > 0 ? 0 : 2);
    }
}
