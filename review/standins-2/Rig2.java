import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the platform's store, replicas and clients, and the start of router processes with
 * the command of the deploy file. Every address is a loopback address.
 */
final class Rig2 implements AutoCloseable {

    /** The repository's root. */
    final Path root = Path.of("").toAbsolutePath();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path temporary;

    private final PrintWriter record;

    private final long start = System.nanoTime();

    final Store store;

    final List<Router> routers = new ArrayList<>();

    final List<Replica> replicas = new CopyOnWriteArrayList<>();

    Rig2(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("troutpier-review");
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::kill)));
        // a case that fails otherwise than by its check couldn't run
        Thread.currentThread()
                .setUncaughtExceptionHandler(
                        (thread, failure) -> {
                            failure.printStackTrace();
                            System.exit(2);
                        });
        log("trouble=" + trouble);
    }

    synchronized void log(String line) {
        String text = String.format("%8.3f %s", millis() / 1000.0, line);
        record.println(text);
        System.out.println(text);
    }

    double millis() {
        return (System.nanoTime() - start) / 1e6;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static Thread spawn(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException exception) {
                                // the connection has ended
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws IOException;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    Replica replica(String id, String service, String more, Handler handler) throws IOException {
        Replica replica = new Replica(this, id, service, more, handler);
        replicas.add(replica);
        return replica;
    }

    Replica replica(String id, String service, String more, Handler handler, String version)
            throws IOException {
        Replica replica = new Replica(this, id, service, more, handler, 0, version);
        replicas.add(replica);
        return replica;
    }

    /** Starts a router on its own loopback address. */
    Router router(int number) throws IOException {
        return router(number, "edge-a-" + number);
    }

    /**
     * Starts a router on its own loopback address.
     *
     * @param number the last part of its address
     * @param name the name of its machine
     */
    Router router(int number, String name) throws IOException {
        Router router = new Router(this, number, name);
        routers.add(router);
        router.startProcess();
        return router;
    }

    void awaitReady() throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (Router router : routers) {
            while (!router.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IOException("router not ready");
                }
                sleep(100);
            }
        }
        sleep(1500);
        log("routers ready");
    }

    @Override
    public void close() {
        for (Router router : routers) {
            router.kill();
        }
        record.close();
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        } catch (IOException exception) {
            // left behind in the temporary folder
        }
    }

    // ---------------------------------------------------------------- routers

    static final class Router {

        final Rig2 rig;

        final String host;

        final int port;

        final int readyPort;

        private final int metricsPort;

        private final Path settings;

        volatile Process process;

        private volatile Path output;

        Router(Rig2 rig, int number, String name) throws IOException {
            this.rig = rig;
            host = "127.0.0." + (10 + number);
            port = freePort(host);
            readyPort = freePort(host);
            metricsPort = freePort(host);
            settings = rig.temporary.resolve("node-" + number + ".yaml");
            String text = Files.readString(rig.root.resolve("deploy/settings.yaml"));
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", "a");
            values.put("ip", host);
            values.put("listen.frontend", host + ":" + port);
            values.put("listen.ready", host + ":" + readyPort);
            values.put("internal_ports.0", "" + freePort(host));
            values.put("platform.address", rig.store.address());
            values.put("bounds.grace_s", "8");
            values.put("bounds.drain_ms", "2000");
            values.put("bounds.config_apply_ms", "2000");
            values.put("bounds.lease_ms", "3000");
            values.put("limits.cpu_share", "0.75");
            values.put("limits.cpu_cores", "1");
            values.put("limits.link_mbps", "1000.0");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_extra", "56");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.contact_ms", "3000");
            // the sections of fields that this deployment's settings don't have
            text = text.replaceAll("(?s)\\{\\{#([^}]+)\\}\\}.*?\\{\\{/\\1\\}\\}\n", "");
            for (Map.Entry<String, String> each : values.entrySet()) {
                text = text.replace("{{" + each.getKey() + "}}", each.getValue());
            }
            text = text.replace("metricsPort: 9464", "metricsPort: " + metricsPort);
            Files.writeString(settings, text);
        }

        /** Starts the process with the command of the deploy file. */
        void startProcess() throws IOException {
            String line =
                    Files.readAllLines(rig.root.resolve("deploy/system.toml")).stream()
                            .filter(each -> each.startsWith("run = "))
                            .findFirst()
                            .orElseThrow();
            String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.directory(rig.root.toFile());
            builder.environment().put("TROUTPIER_CONFIG", settings.toString());
            builder.environment().put("TROUTPIER_LISTEN", host + ":" + port);
            builder.redirectErrorStream(true);
            output = rig.temporary.resolve(host + "-" + System.nanoTime() + ".log");
            builder.redirectOutput(output.toFile());
            process = builder.start();
            String keep = System.getenv("KEEP_LOG");
            if (keep != null) {
                Path log = output;
                process.onExit()
                        .thenRun(() -> copy(log, Path.of(keep, log.getFileName().toString())));
            }
            rig.log("router " + host + ":" + port + " started pid=" + process.pid());
        }

        private static void copy(Path from, Path to) {
            try {
                Files.copy(from, to);
            } catch (IOException exception) {
                System.out.println(exception);
            }
        }

        void signal(String name) throws IOException {
            rig.log("signal " + name + " to router " + host);
            try {
                new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
        }

        /** Returns the numbers that follow a text in the log of the last start. */
        List<Long> numbersAfter(String text) throws IOException {
            List<Long> numbers = new ArrayList<>();
            for (String line : Files.readAllLines(output)) {
                int at = line.indexOf(text);
                if (at >= 0) {
                    String rest = line.substring(at + text.length());
                    numbers.add(Long.parseLong(rest.replaceAll("^(\\d+).*", "$1")));
                }
            }
            return numbers;
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor();
                    Thread.sleep(50);
                } catch (InterruptedException exception) {
                    // ended anyway
                }
            }
        }

        boolean isReady() {
            try (Client client = new Client(host, readyPort)) {
                client.send("GET /troutpier/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                return client.read(1000).status == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        Client connect() throws IOException {
            return new Client(host, port);
        }
    }

    // ---------------------------------------------------------------- messages

    /** A request or an answer. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        int status;
        /** Whether the answer came with its length or its last chunk. */
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int each = in.read();
            if (each < 0) {
                throw new EOFException();
            }
            if (each == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(each);
        }
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = readLine(in);
        while (true) {
            String line = readLine(in);
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (message.firstLine.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
        }
        return message;
    }

    static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    body.write(in.readNBytes(size));
                    readLine(in);
                    if (size == 0) {
                        message.complete = true;
                        break;
                    }
                }
            } else if (!message.header("Content-Length").isEmpty()) {
                int length = Integer.parseInt(message.header("Content-Length"));
                body.write(in.readNBytes(length));
                message.complete = body.size() == length;
            } else {
                message.complete = !message.firstLine.startsWith("HTTP/");
            }
        } finally {
            message.body = body.toByteArray();
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {

        final Socket socket;

        final InputStream in;

        final OutputStream out;

        Client(String host, int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads an answer; one whose body is cut off is returned as incomplete. */
        Message read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            Message message = readHead(in);
            try {
                readBody(in, message);
            } catch (EOFException | java.net.SocketException | NumberFormatException exception) {
                message.complete = false;
            }
            return message;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---------------------------------------------------------------- replicas

    /** Answers requests at a replica. */
    interface Handler {
        void handle(Replica replica, Message request, InputStream in, OutputStream out)
                throws IOException;
    }

    /** A replica, with its row in the store. */
    static final class Replica {

        final Rig2 rig;

        final String id;

        final String service;

        final ServerSocket listener;

        final Handler handler;

        final AtomicInteger runs = new AtomicInteger();

        /** Further fields of the row, each after a comma. */
        volatile java.util.function.Supplier<String> rowFields;

        private final String version;

        private final AtomicInteger sequence = new AtomicInteger();

        volatile String phase = "ready";

        volatile boolean listed = true;

        Replica(Rig2 rig, String id, String service, String more, Handler handler)
                throws IOException {
            this(rig, id, service, more, handler, 0, "v1");
        }

        /** Creates a replica that listens at a given port; 0 for any. */
        Replica(
                Rig2 rig,
                String id,
                String service,
                String more,
                Handler handler,
                int port,
                String version)
                throws IOException {
            this.version = version;
            this.rig = rig;
            this.id = id;
            this.service = service;
            rowFields = () -> more;
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress("127.0.0.1", port), 200);
            beat();
            spawn(this::accept);
            spawn(
                    () -> {
                        while (true) {
                            sleep(1200);
                            beat();
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void beat() {
            if (listed) {
                String row =
                        "{\"service\":\"" + service + "\",\"address\":\"" + address()
                                + "\",\"zone\":\"a\",\"version\":\"" + version + "\",\"slots\":64,\"phase\":\""
                                + phase + "\",\"cold_remaining_ms\":0,\"sequence\":"
                                + sequence.incrementAndGet() + rowFields.get() + "}";
                rig.store.put("servers", "", id, row.getBytes(StandardCharsets.UTF_8));
            }
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                spawn(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = readHead(in);
                    String expected = request.header("Expect-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        answer(out, request, 421, "", "");
                        continue;
                    }
                    if (request.target().equals("/healthz")) {
                        answer(out, request, 200, "Instance-Id: " + id + "\r\n", "");
                        continue;
                    }
                    handler.handle(this, request, in, out);
                    if (request.header("Connection").equalsIgnoreCase("close")) {
                        return;
                    }
                }
            }
        }

        String signature(Message request) {
            return "sig-" + id + "-" + request.header("Attempt-Id");
        }

        void answer(OutputStream out, Message request, int status, String headers, String body)
                throws IOException {
            String id = request.header("Attempt-Id");
            String text =
                    "HTTP/1.1 " + status + " X\r\n"
                            + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n")
                            + headers
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void succeed(OutputStream out, Message request, String body) throws IOException {
            answer(out, request, 200, "Replica-Signature: " + signature(request) + "\r\n", body);
        }
    }

    // ---------------------------------------------------------------- the store

    /** The platform's store, with the calls that routers use. */
    static final class Store {

        private record Row(String table, String part, String key, byte[] value, long version, boolean deleted) {}

        private final Rig2 rig;

        private final ServerSocket listener;

        private final TreeMap<String, Row> rows = new TreeMap<>();

        private final List<Row> history = new ArrayList<>();

        private long version = 1;

        Store(Rig2 rig) throws IOException {
            this.rig = rig;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            spawn(
                    () -> {
                        while (true) {
                            Socket socket = listener.accept();
                            socket.setTcpNoDelay(true);
                            spawn(() -> serve(socket));
                        }
                    });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized void put(String table, String part, String key, byte[] value) {
            version++;
            store(new Row(table, part, key, value, version, false));
            notifyAll();
        }

        synchronized void remove(String table, String key) {
            version++;
            store(new Row(table, "", key, new byte[0], version, true));
            notifyAll();
        }

        private void store(Row row) {
            String name = row.table + "\0" + row.part + "\0" + row.key;
            if (row.deleted) {
                rows.remove(name);
            } else {
                rows.put(name, row);
            }
            history.add(row);
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = readHead(in);
                    readBody(in, request);
                    String[] answer = answer(request);
                    byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\n"
                                    + "Content-Length: " + body.length + "\r\n\r\n";
                    OutputStream out = socket.getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    out.flush();
                }
            }
        }

        private String[] answer(Message request) {
            String target = request.target();
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String pair : target.substring(mark + 1).split("&")) {
                    int equal = pair.indexOf('=');
                    query.put(
                            pair.substring(0, equal),
                            java.net.URLDecoder.decode(
                                    pair.substring(equal + 1), StandardCharsets.UTF_8));
                }
            }
            String path = mark < 0 ? target : target.substring(0, mark);
            return switch (path) {
                case "/troutpier/rows-get" -> get(query);
                case "/troutpier/rows-feed" -> feed(query);
                case "/troutpier/rows-tx" -> transact(request.text());
                default -> new String[] {"404", "{}"};
            };
        }

        private long now() {
            return (long) rig.millis();
        }

        private String json(Row row) {
            return "{\"table\":\"" + row.table + "\",\"part\":\"" + row.part
                    + "\",\"private_key\":\"" + row.key + "\",\"value\":\""
                    + Base64.getEncoder().encodeToString(row.value)
                    + "\",\"schema_version\":" + row.version
                    + (row.deleted ? ",\"deleted\":true" : "") + "}";
        }

        private String page(List<String> found) {
            return "{\"rows\":[" + String.join(",", found)
                    + "],\"has_more\":false,\"schema_version\":" + version
                    + ",\"now_ms\":" + now() + "}";
        }

        private synchronized String[] get(Map<String, String> query) {
            List<String> found = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("table"))
                        && row.part.equals(query.getOrDefault("part", ""))
                        && row.key.compareTo(query.getOrDefault("source", "")) >= 0) {
                    found.add(json(row));
                }
            }
            return new String[] {"200", page(found)};
        }

        private synchronized String[] feed(Map<String, String> query) {
            long after = Long.parseLong(query.get("after"));
            long end = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("wait_ms")));
            while (true) {
                Map<String, Row> changed = new LinkedHashMap<>();
                for (Row row : history) {
                    if (row.version > after && row.table.equals(query.get("table"))) {
                        changed.remove(row.key);
                        changed.put(row.key, row);
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (!changed.isEmpty() || left <= 0) {
                    return new String[] {
                        "200", page(changed.values().stream().map(this::json).toList())
                    };
                }
                try {
                    wait(left);
                } catch (InterruptedException exception) {
                    throw new IllegalStateException(exception);
                }
            }
        }

        @SuppressWarnings("unchecked")
        private synchronized String[] transact(String body) {
            Map<String, Object> call = (Map<String, Object>) new Json(body).value();
            List<String> current = new ArrayList<>();
            boolean holds = true;
            for (Object each : (List<Object>) call.getOrDefault("expected_count", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) each;
                Row row = rows.get(name(expected));
                long found = row == null ? 0 : row.version;
                holds &= found == ((Number) expected.get("schema_version")).longValue();
                if (row != null) {
                    current.add(json(row));
                }
            }
            if (!holds) {
                return new String[] {"412", page(current)};
            }
            version++;
            for (Object each : (List<Object>) call.getOrDefault("writes", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                store(new Row((String) row.get("table"), (String) row.getOrDefault("part", ""),
                        (String) row.get("private_key"),
                        Base64.getDecoder().decode((String) row.get("value")), version, false));
            }
            for (Object each : (List<Object>) call.getOrDefault("drop", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                store(new Row((String) row.get("table"), (String) row.getOrDefault("part", ""),
                        (String) row.get("private_key"), new byte[0], version, true));
            }
            notifyAll();
            return new String[] {
                "200", "{\"schema_version\":" + version + ",\"now_ms\":" + now() + "}"
            };
        }

        private static String name(Map<String, Object> row) {
            return row.get("table") + "\0" + row.getOrDefault("part", "") + "\0"
                    + row.get("private_key");
        }
    }

    /** A small JSON parser. */
    private static final class Json {

        private final String text;

        private int at;

        Json(String text) {
            this.text = text;
        }

        private char next() {
            while (Character.isWhitespace(text.charAt(at))) {
                at++;
            }
            return text.charAt(at);
        }

        Object value() {
            char first = next();
            if (first == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    if (next() == ',') {
                        at++;
                    }
                    String key = (String) value();
                    next();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            if (first == '[') {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    if (next() == ',') {
                        at++;
                    }
                    list.add(value());
                }
                at++;
                return list;
            }
            if (first == '"') {
                StringBuilder string = new StringBuilder();
                at++;
                while (text.charAt(at) != '"') {
                    if (text.charAt(at) == '\\') {
                        at++;
                    }
                    string.append(text.charAt(at++));
                }
                at++;
                return string.toString();
            }
            int from = at;
            while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
                at++;
            }
            String word = text.substring(from, at);
            if (word.equals("true") || word.equals("false")) {
                return word.equals("true");
            }
            return word.equals("null") ? null : (Object) Double.valueOf(word).longValue();
        }
    }

    // ---------------------------------------------------------------- configurations

    static String route(String prefix, String type, String service, String more) {
        return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"ficu95.example\","
                + "\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type + "\","
                + "\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":2" + more + "}";
    }

    static String service(String name, String more) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false" + more + "}";
    }

    static final String ENGINE =
            ",\"engine\":{\"slots\":64,\"kv_capacity\":89474,\"kv_bytes\":18432,"
                    + "\"link_mbps\":700000.0,\"migrations\":true,\"backups\":true,\"stride\":63,"
                    + "\"most\":12,\"kv_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,"
                    + "\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}";

    /** Further fields of configurations, each with a comma after it. */
    String configurationFields = "";

    void configure(int version, String routes, String services, int maxBody, int maxHeader) {
        String text =
                "{" + configurationFields + "\"version\":" + version + ",\"routes\":[" + routes
                        + "],\"services\":[" + services + "],\"limits\":{\"max_header_bytes\":" + maxHeader
                        + ",\"max_body_bytes\":" + maxBody
                        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        store.put("op", "", "config", text.getBytes(StandardCharsets.UTF_8));
        log("configuration version " + version + " acknowledged");
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    static String head(String method, String target, String id, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 14000\r\n" + more + "\r\n";
    }
}
