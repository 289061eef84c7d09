import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Clients send requests over kept connections. The operator raises max_body_bytes; some seconds
 * after the acknowledgement the clients send bodies that the new version allows.
 */
final class Limits {

    static final int CLIENTS = 30;

    static final int CONFIG_APPLY = 2000;

    static byte[] configuration(int version, int bodyBytes) {
        String text =
                new String(
                        Rig.configuration(
                                version,
                                List.of(
                                        Rig.route("files", "/files/", "non_idempotent", 1500, 300, "\"priority\":2,\"service\":\"web\",\"max_attempts\":1")),
                                List.of(Rig.plainService("web"))));
        return Rig.ascii(text.replace("4194304", String.valueOf(bodyBytes)));
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path record = Path.of(System.getProperty("record"));
        Rig.Store store = new Rig.Store();
        Rig.Server port = store.open("127.0.0.1", null);
        int before = 262_144;
        int after = 1_048_576;
        store.put("op", "", "config", configuration(3, trouble ? before : after));
        for (int index = 0; index < 3; index++) {
            new Rig.Plain(store, "w" + index, "web", "z" + index, 6, 30);
        }
        List<Rig.Router> routers = Rig.startRouters(List.of("z0", "z0"), port.address(), record);
        Rig.sleep(10_000);
        Rig.Entry entry = new Rig.Entry(routers);
        List<Socket> sockets = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            sockets.add(null);
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        long acknowledged = 0;
        int all = 0;
        int denied = 0;
        for (int round = 0; round < 20; round++) {
            if (round == 10 && trouble) {
                store.put("op", "", "config", configuration(7, after));
                acknowledged = Rig.now();
                Rig.note("version 7 with max_body_bytes=" + after + " acknowledged");
            }
            boolean inForce = !trouble || acknowledged > 0 && Rig.now() > acknowledged + CONFIG_APPLY + 1000;
            int size = inForce ? 600_000 : 100_000;
            for (int client = 0; client < CLIENTS; client++) {
                if (sockets.get(client) == null) {
                    sockets.set(client, Rig.connect(entry.choose("z0", client).caller, 3000));
                }
                Socket socket = sockets.get(client);
                String id = "c" + client + "r" + round;
                String outcome;
                try {
                    socket.setSoTimeout(5000);
                    Rig.Message answer = exchange(socket, id, new byte[size]);
                    outcome = answer == null ? "closed" : String.valueOf(answer.status());
                    if (answer == null || "close".equalsIgnoreCase(answer.header("Connection"))) {
                        socket.close();
                        sockets.set(client, null);
                    }
                } catch (IOException exception) {
                    outcome = "closed";
                    socket.close();
                    sockets.set(client, null);
                }
                all++;
                if (inForce && trouble && (outcome.equals("413") || outcome.equals("closed"))) {
                    Rig.note("request " + id + " of " + size + " bytes: " + outcome);
                }
                if (outcome.equals("413")) {
                    denied++;
                }
                outcomes.merge((inForce ? "600 kB " : "100 kB ") + outcome, 1, Integer::sum);
                Rig.sleep(10);
            }
            Rig.sleep(400);
        }
        Rig.note("outcomes " + outcomes);
        double allowed = 5 + all / 500.0;
        Rig.note("ended with a 4xx of the router's own: " + denied + " of " + all + ", allowed " + allowed);
        Rig.finish(denied > allowed ? 1 : 0, record);
    }

    private static Rig.Message exchange(Socket socket, String id, byte[] body) throws IOException {
        socket.getOutputStream()
                .write(
                        Rig.ascii(
                                "POST /files/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                                        + id
                                        + "\r\nDeadline-Ms: 3000\r\nContent-Length: "
                                        + body.length
                                        + "\r\n\r\n"));
        try {
            socket.getOutputStream().write(body);
        } catch (IOException exception) {
            // the answer may be there although the rest of the body was not taken
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Rig.Message answer = Rig.readHead(in);
        if (answer != null) {
            Rig.readBody(in, answer, true);
        }
        return answer;
    }
}
