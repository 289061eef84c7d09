import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Whether two machines of one name give orders to one replica within the term of a lease. */
public final class DoubleHolder {

    private static final int LEASE_MILLIS = 3000;

    private static final AtomicInteger UNANSWERED = new AtomicInteger();

    private DoubleHolder() {}

    private record Order(double at, String replica, long token) {}

    /**
     * A model replica. It leaves its first orders unanswered and carries them out 4 s later, where
     * their condition still holds.
     */
    private static final class Engine {

        private final Rig2 rig;

        private final List<Order> orders;

        private final AtomicInteger received = new AtomicInteger();

        private volatile String stage;

        private int sequence;

        /** How many orders it leaves unanswered. */
        private final int silent;

        Engine(Rig2 rig, List<Order> orders, String stage, int silent) {
            this.silent = silent;
            this.rig = rig;
            this.orders = orders;
            this.stage = stage;
        }

        String row() {
            return ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        }

        private synchronized boolean carryOut(long expected) {
            if (expected != sequence) {
                return false;
            }
            sequence++;
            stage = "decode";
            return true;
        }

        void handle(
                Rig2.Replica replica,
                Rig2.Message request,
                java.io.InputStream in,
                java.io.OutputStream out)
                throws IOException {
            Rig2.readBody(in, request);
            if (!request.target().equals("/troutpier/order")) {
                replica.answer(
                        out,
                        request,
                        200,
                        "Content-Type: application/json\r\n",
                        "{" + row().substring(1) + ",\"utilization\":false,\"sequence\":" + sequence
                                + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,"
                                + "\"kv_handles\":0}");
                return;
            }
            long token = number(request.text(), "fencing_token");
            long expected = number(request.text(), "expected_count");
            synchronized (orders) {
                orders.add(new Order(rig.millis(), replica.id, token));
            }
            rig.log("order at " + replica.id + " " + request.text());
            if (received.getAndIncrement() < silent) {
                UNANSWERED.incrementAndGet();
                Rig2.sleep(4000);
                rig.log("late order carried out at " + replica.id + ": " + carryOut(expected));
                throw new IOException("not answered");
            }
            int status = carryOut(expected) ? 202 : 409;
            rig.log("order answered at " + replica.id + " " + status);
            replica.answer(out, request, status, "", "{}");
        }

        private static long number(String json, String field) {
            return Long.parseLong(json.replaceAll(".*\"" + field + "\":(\\d+).*", "$1"));
        }
    }

    public static void main(String[] arguments) throws Exception {
        int turns = 0;
        int total = 0;
        List<Order> orders = new ArrayList<>();
        try (Rig2 rig = new Rig2(Path.of(arguments[0]))) {
            StringBuilder routes = new StringBuilder();
            StringBuilder services = new StringBuilder();
            for (int service = 1; service <= 4; service++) {
                String name = "llm" + service;
                // of the second software version no replica decodes, so that one is ordered to
                String[][] kinds = {
                    {"prefill", "v1"}, {"decode", "v1"}, {"prefill", "v2"}, {"prefill", "v2"}
                };
                for (int number = 0; number < kinds.length; number++) {
                    Engine engine = new Engine(
                                    rig,
                                    orders,
                                    kinds[number][0],
                                    service <= 2 && number == 2 ? 2 : 0);
                    Rig2.Replica replica =
                            rig.replica(
                                    "i-" + name + "-" + number,
                                    name,
                                    engine.row(),
                                    engine::handle,
                                    kinds[number][1]);
                    replica.rowFields = engine::row;
                }
                routes.append(service > 1 ? "," : "")
                        .append(
                                Rig2.route(
                                        "/s" + service + "/",
                                        "streaming",
                                        name,
                                        ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300"));
                services.append(service > 1 ? "," : "").append(Rig2.service(name, Rig2.ENGINE));
            }
            rig.configure(1, routes.toString(), services.toString(), 4194304, 16384);
            rig.router(1, "edge-a-1");
            Rig2.sleep(2000);
            if (rig.trouble) {
                // another name shows that the name is the cause
                String name = System.getenv().getOrDefault("NEW_NAME", "edge-a-1");
                rig.log("planned replacement: the new machine is named " + name);
                rig.router(2, name);
                Rig2.sleep(3000);
                rig.routers.get(0).signal("TERM");
            }
            Rig2.sleep(12000);
            Map<Long, String> machines = new HashMap<>();
            for (Rig2.Router router : rig.routers) {
                for (long token : router.numbersAfter("role lease acquired token=")) {
                    machines.put(token, router.host);
                }
            }
            Map<String, Order> last = new HashMap<>();
            for (Order order : orders) {
                total++;
                Order before = last.put(order.replica, order);
                if (before == null) {
                    continue;
                }
                String one = machines.get(before.token);
                String other = machines.get(order.token);
                if (!String.valueOf(one).equals(other) && order.at - before.at < LEASE_MILLIS) {
                    turns++;
                    rig.log(
                            String.format(
                                    "TURN at %s: machine %s token %d, machine %s token %d"
                                            + " %.0f ms later",
                                    order.replica,
                                    one,
                                    before.token,
                                    other,
                                    order.token,
                                    order.at - before.at));
                }
            }
            rig.log("orders=" + total + " unanswered=" + UNANSWERED + " leases=" + machines + " turns=" + turns);
        }
        System.exit(turns > 0 ? 1 : total > 0 ? 0 : 2);
    }
}
