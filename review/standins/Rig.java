import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What the scripts share: HTTP, a store, replicas, clients and the routers' processes. */
final class Rig {

    private Rig() {}

    // ------------------------------------------------------------------ time and record

    static final long START = System.nanoTime();

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** The processes that the script started. */
    static final List<Process> PROCESSES = Collections.synchronizedList(new ArrayList<>());

    static final List<String> LINES = Collections.synchronizedList(new ArrayList<>());

    static void note(String line) {
        String text = String.format(Locale.ROOT, "%7d %s", now(), line);
        LINES.add(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static Thread spawn(ThrowingRunnable task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Throwable failure) {
                                if (!(failure instanceof IOException)) {
                                    failure.printStackTrace();
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    // ------------------------------------------------------------------ HTTP

    /** A message: its first line, its headers (as sent) and its body. */
    static final class Message {
        String line;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the message ended as its head announced. */
        boolean whole;

        String header(String name) {
            for (String[] each : headers) {
                if (each[0].equalsIgnoreCase(name)) {
                    return each[1];
                }
            }
            return null;
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("inside a line");
            }
            if (each != '\r') {
                line.write(each);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.line = readLine(in);
        if (message.line == null) {
            return null;
        }
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.add(
                    new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        return message;
    }

    /** Reads the body; a response without a length lasts until its connection ends. */
    static void readBody(InputStream in, Message message, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    body.write(readFully(in, size));
                    readLine(in);
                    if (size == 0) {
                        break;
                    }
                }
            } else if (message.header("Content-Length") != null) {
                int length = Integer.parseInt(message.header("Content-Length"));
                byte[] buffer = new byte[length];
                int count = in.readNBytes(buffer, 0, length);
                message.body = buffer;
                if (count < length) {
                    throw new EOFException("inside a body");
                }
                message.whole = true;
                return;
            } else if (response) {
                body.write(in.readAllBytes());
            }
            message.whole = true;
        } finally {
            if (body.size() > 0) {
                message.body = body.toByteArray();
            }
        }
    }

    static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("inside a body");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] response(int status, String headers, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("HTTP/1.1 " + status + " X\r\n" + headers));
        out.writeBytes(ascii("Content-Length: " + body.length + "\r\n\r\n"));
        out.writeBytes(body);
        return out.toByteArray();
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException exception) {
            // already closed
        }
    }

    /** Serves one request; returns false to end the connection. */
    interface Handler {
        boolean serve(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A server of its own port. */
    static final class Server {
        final ServerSocket listener;
        final List<Socket> open = Collections.synchronizedList(new ArrayList<>());
        volatile boolean closed;

        Server(String host, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1000);
            spawn(
                    () -> {
                        while (!closed) {
                            Socket socket = listener.accept();
                            socket.setTcpNoDelay(true);
                            open.add(socket);
                            spawn(() -> connection(socket, handler));
                        }
                    });
        }

        private void connection(Socket socket, Handler handler) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = readHead(in);
                    if (request == null) {
                        return;
                    }
                    readBody(in, request, false);
                    if (!handler.serve(request, socket, out)) {
                        return;
                    }
                }
            } finally {
                open.remove(socket);
            }
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Ends the server as the kill of its process would. */
        void kill() throws IOException {
            closed = true;
            listener.close();
            for (Socket each : List.copyOf(open)) {
                reset(each);
            }
        }
    }

    /** Sends one request on a connection of its own; a failure is an answer with status 0. */
    static Message call(String address, String head, byte[] body, int timeoutMillis) {
        Message answer = new Message();
        answer.line = "HTTP/1.1 0 none";
        try (Socket socket = connect(address, timeoutMillis)) {
            socket.setSoTimeout(timeoutMillis);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(ascii(head));
            if (body != null) {
                request.writeBytes(ascii("Content-Length: " + body.length + "\r\n"));
            }
            request.writeBytes(ascii("\r\n"));
            if (body != null) {
                request.writeBytes(body);
            }
            socket.getOutputStream().write(request.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message read = readHead(in);
            if (read == null) {
                answer.line = "HTTP/1.1 0 closed";
                return answer;
            }
            answer = read;
            readBody(in, answer, true);
        } catch (IOException exception) {
            if (answer.status() == 0) {
                answer.line = "HTTP/1.1 0 " + exception;
            }
        }
        return answer;
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    // ------------------------------------------------------------------ JSON

    /** Parses JSON to maps, lists, texts, doubles, booleans and null. */
    static final class Json {
        private final String text;
        private int at;

        private Json(String text) {
            this.text = text;
        }

        @SuppressWarnings("unchecked")
        static Map<String, Object> object(byte[] bytes) {
            return (Map<String, Object>) new Json(new String(bytes, StandardCharsets.UTF_8)).value();
        }

        private char skip() {
            while (Character.isWhitespace(text.charAt(at))) {
                at++;
            }
            return text.charAt(at);
        }

        private Object value() {
            char first = skip();
            if (first == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                while (skip() != '}') {
                    if (text.charAt(at) == ',') {
                        at++;
                        skip();
                    }
                    String key = string();
                    skip();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            if (first == '[') {
                List<Object> list = new ArrayList<>();
                at++;
                while (skip() != ']') {
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                    list.add(value());
                }
                at++;
                return list;
            }
            if (first == '"') {
                return string();
            }
            int from = at;
            while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(from, at);
            switch (word) {
                case "true":
                    return true;
                case "false":
                    return false;
                case "null":
                    return null;
                default:
                    return Double.valueOf(word);
            }
        }

        private String string() {
            StringBuilder out = new StringBuilder();
            at++;
            while (text.charAt(at) != '"') {
                char each = text.charAt(at++);
                if (each == '\\') {
                    each = text.charAt(at++);
                    if (each == 'u') {
                        each = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    } else if (each == 'n') {
                        each = '\n';
                    } else if (each == 't') {
                        each = '\t';
                    } else if (each == 'r') {
                        each = '\r';
                    }
                }
                out.append(each);
            }
            at++;
            return out.toString();
        }

        static String quote(String text) {
            return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
    }

    // ------------------------------------------------------------------ the store

    /** The platform's store: rows, transactions and the feed of changes. */
    static final class Store {

        private static final class Row {
            final String table;
            final String part;
            final String key;
            final byte[] value;
            final long version;

            Row(String table, String part, String key, byte[] value, long version) {
                this.table = table;
                this.part = part;
                this.key = key;
                this.value = value;
                this.version = version;
            }

            String json() {
                String head =
                        "{\"table\":"
                                + Json.quote(table)
                                + ",\"part\":"
                                + Json.quote(part)
                                + ",\"private_key\":"
                                + Json.quote(key)
                                + ",\"schema_version\":"
                                + version;
                return value == null
                        ? head + ",\"deleted\":true}"
                        : head
                                + ",\"value\":\""
                                + Base64.getEncoder().encodeToString(value)
                                + "\"}";
            }
        }

        private final Map<String, Row> rows = new TreeMap<>();
        private final List<Row> history = new ArrayList<>();
        private long version = 1;

        private static String id(Object table, Object part, Object key) {
            return table + "\u0001" + part + "\u0001" + key;
        }

        synchronized long put(String table, String part, String key, byte[] value) {
            version++;
            set(new Row(table, part, key, value, version));
            notifyAll();
            return version;
        }

        private void set(Row row) {
            String id = id(row.table, row.part, row.key);
            if (row.value == null) {
                rows.remove(id);
            } else {
                rows.put(id, row);
            }
            history.add(row);
        }

        synchronized void drop(String table, String part, String key) {
            if (rows.containsKey(id(table, part, key))) {
                put(table, part, key, null);
            }
        }

        synchronized byte[] get(String table, String part, String key) {
            Row row = rows.get(id(table, part, key));
            return row == null ? null : row.value;
        }

        private String tail() {
            return "\"schema_version\":" + version + ",\"now_ms\":" + now() + "}";
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String each : target.substring(mark + 1).split("&")) {
                    String[] pair = each.split("=", 2);
                    query.put(
                            pair[0],
                            java.net.URLDecoder.decode(
                                    pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        /** Answers a call. */
        byte[] answer(Message request) throws InterruptedException {
            String path = request.target().split("\\?")[0];
            Map<String, String> query = query(request.target());
            String json = "Content-Type: application/json\r\n";
            switch (path) {
                case "/troutpier/rows-tx":
                    sleep(5);
                    return transact(Json.object(request.body), json);
                case "/troutpier/rows-get":
                    sleep(4);
                    return response(200, json, ascii(read(query)));
                case "/troutpier/rows-feed":
                    return response(200, json, ascii(feed(query)));
                default:
                    return response(404, "", new byte[0]);
            }
        }

        @SuppressWarnings("unchecked")
        private synchronized byte[] transact(Map<String, Object> body, String json) {
            StringBuilder conflicts = new StringBuilder();
            boolean conflict = false;
            for (Object each : (List<Object>) body.getOrDefault("expected_count", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                Row known = rows.get(id(row.get("table"), row.getOrDefault("part", ""), row.get("private_key")));
                long expected = ((Double) row.get("schema_version")).longValue();
                conflict |= (known == null ? 0 : known.version) != expected;
                if (known != null) {
                    conflicts.append(conflicts.length() > 0 ? "," : "").append(known.json());
                }
            }
            if (conflict) {
                return response(412, json, ascii("{\"rows\":[" + conflicts + "]," + tail()));
            }
            version++;
            for (Object each : (List<Object>) body.getOrDefault("writes", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                set(
                        new Row(
                                (String) row.get("table"),
                                (String) row.getOrDefault("part", ""),
                                (String) row.get("private_key"),
                                Base64.getDecoder().decode((String) row.get("value")),
                                version));
            }
            for (Object each : (List<Object>) body.getOrDefault("drop", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                set(
                        new Row(
                                (String) row.get("table"),
                                (String) row.getOrDefault("part", ""),
                                (String) row.get("private_key"),
                                null,
                                version));
            }
            notifyAll();
            return response(200, json, ascii("{" + tail()));
        }

        private synchronized String read(Map<String, String> query) {
            StringBuilder out = new StringBuilder("{\"rows\":[");
            int count = 0;
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            boolean more = false;
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("table"))
                        && row.part.equals(query.getOrDefault("part", ""))
                        && row.key.compareTo(query.getOrDefault("source", "")) >= 0) {
                    if (count == limit) {
                        more = true;
                        break;
                    }
                    out.append(count++ > 0 ? "," : "").append(row.json());
                }
            }
            return out + "],\"has_more\":" + more + "," + tail();
        }

        private synchronized String feed(Map<String, String> query) throws InterruptedException {
            long after = Long.parseLong(query.get("after"));
            long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
            while (true) {
                StringBuilder out = new StringBuilder();
                for (Row row : history) {
                    if (row.version > after && row.table.equals(query.get("table"))) {
                        out.append(out.length() > 0 ? "," : "").append(row.json());
                    }
                }
                long left = until - now();
                if (out.length() > 0 || left <= 0) {
                    return "{\"rows\":[" + out + "]," + tail();
                }
                wait(left);
            }
        }

        /** Opens a port of the store; the gate may answer, delay or break off a call. */
        Server open(String host, Handler gate) throws IOException {
            return new Server(
                    host,
                    0,
                    (request, socket, out) -> {
                        if (gate != null && !gate.serve(request, socket, out)) {
                            return false;
                        }
                        out.write(answer(request));
                        return true;
                    });
        }
    }

    // ------------------------------------------------------------------ replicas

    /** A request that a replica began to work on, without its body. */
    static final class Run {
        final long at = now();
        final String replica;
        final Message request;

        Run(String replica, Message request) {
            this.replica = replica;
            this.request = new Message();
            this.request.line = request.line;
            this.request.headers.addAll(request.headers);
        }

        String id() {
            return request.header("Attempt-Id");
        }
    }

    static final List<Run> RUNS = Collections.synchronizedList(new ArrayList<>());

    /** A replica that keeps itself in the store. */
    abstract static class Replica {
        final Store store;
        final String id;
        final String service;
        final String zone;
        final Server server;
        volatile String phase = "ready";
        volatile String stage;
        volatile boolean beating = true;
        volatile int slots;
        private int sequence;

        Replica(Store store, String id, String service, String zone, String stage, int slots)
                throws IOException {
            this.store = store;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.stage = stage;
            this.slots = slots;
            this.server = new Server("127.0.0.1", 0, this::serve);
            beat();
            spawn(
                    () -> {
                        while (beating) {
                            sleep(1200);
                            if (beating) {
                                beat();
                            }
                        }
                    });
        }

        synchronized void beat() {
            String engine =
                    stage == null
                            ? ""
                            : ",\"stage\":\""
                                    + stage
                                    + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
            store.put(
                    "servers",
                    "",
                    id,
                    ascii(
                            "{\"service\":\""
                                    + service
                                    + "\",\"address\":\""
                                    + server.address()
                                    + "\",\"zone\":\""
                                    + zone
                                    + "\",\"version\":\"v1\",\"slots\":"
                                    + slots
                                    + ",\"phase\":\""
                                    + phase
                                    + "\",\"cold_remaining_ms\":0"
                                    + engine
                                    + ",\"sequence\":"
                                    + (++sequence)
                                    + "}"));
        }

        private boolean serve(Message request, Socket socket, OutputStream out) throws Exception {
            String expected = request.header("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                out.write(response(421, "Instance-Id: " + id + "\r\n", new byte[0]));
                return true;
            }
            if (request.target().equals("/healthz")) {
                out.write(response(200, "Instance-Id: " + id + "\r\n", new byte[0]));
                return true;
            }
            return work(request, socket, out);
        }

        String head(Message request) {
            return "Attempt-Id: "
                    + request.header("Attempt-Id")
                    + "\r\nReplica-Signature: "
                    + signature(request)
                    + "\r\n";
        }

        String signature(Message request) {
            return id + "." + request.header("Attempt-Id");
        }

        abstract boolean work(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A replica of a plain service. */
    static class Plain extends Replica {
        volatile int workMillis;
        volatile int answerBytes = 800;
        private final AtomicInteger busy = new AtomicInteger();

        Plain(Store store, String id, String service, String zone, int slots, int workMillis)
                throws IOException {
            super(store, id, service, zone, null, slots);
            this.workMillis = workMillis;
        }

        @Override
        boolean work(Message request, Socket socket, OutputStream out) throws Exception {
            if (busy.incrementAndGet() > slots + 24) {
                busy.decrementAndGet();
                out.write(response(503, "Not-Executed: 1\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\n", new byte[0]));
                return true;
            }
            try {
                RUNS.add(new Run(id, request));
                return run(request, socket, out);
            } finally {
                busy.decrementAndGet();
            }
        }

        boolean run(Message request, Socket socket, OutputStream out) throws Exception {
            sleep(workMillis);
            out.write(response(200, head(request), body(request, answerBytes)));
            return true;
        }

        byte[] body(Message request, int size) {
            byte[] body = new byte[size];
            java.util.Arrays.fill(body, (byte) ('a' + Math.abs(request.header("Attempt-Id").hashCode() % 26)));
            return body;
        }
    }

    /** A model engine: prefill, decode, leases of memory, reports and orders. */
    static class Engine extends Replica {
        volatile int eventMillis = 20;
        volatile double tokensPerMilli = 55;
        volatile int orders;
        volatile boolean changing;
        final Map<String, Integer> holds = new ConcurrentHashMap<>();
        final Map<String, String> handles = new ConcurrentHashMap<>();
        final AtomicInteger running = new AtomicInteger();
        private final AtomicInteger next = new AtomicInteger();

        Engine(Store store, String id, String service, String zone, String stage, int slots)
                throws IOException {
            super(store, id, service, zone, stage, slots);
        }

        static int outputs(Message request) {
            return Integer.parseInt(request.header("Token-Count").split(",")[1].trim());
        }

        @Override
        boolean work(Message request, Socket socket, OutputStream out) throws Exception {
            String target = request.target();
            String json = "Content-Type: application/json\r\n";
            if (target.equals("/troutpier/report")) {
                out.write(
                        response(
                                200,
                                json,
                                ascii(
                                        "{\"stage\":\""
                                                + stage
                                                + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"utilization\":"
                                                + changing
                                                + ",\"sequence\":"
                                                + orders
                                                + ",\"queued\":0,\"running\":"
                                                + running.get()
                                                + ",\"kv_used\":0,\"kv_total\":89474,\"kv_handles\":"
                                                + handles.size()
                                                + "}")));
                return true;
            }
            if (target.equals("/troutpier/hold-take")) {
                String hold = id + "-" + next.incrementAndGet();
                holds.put(hold, 1);
                out.write(response(200, json, ascii("{\"hold\":\"" + hold + "\"}")));
                return true;
            }
            if (target.startsWith("/troutpier/hold-drop/") || target.startsWith("/troutpier/kv-handle/")) {
                String key = target.substring(target.lastIndexOf('/') + 1);
                holds.remove(key);
                handles.remove(key);
                out.write(response(200, "", new byte[0]));
                return true;
            }
            if (target.equals("/troutpier/order")) {
                return order(request, socket, out);
            }
            if ("prefill".equals(request.header("Stage"))) {
                if (!stage.equals("prefill")) {
                    out.write(response(421, "Instance-Id: " + id + "\r\n", new byte[0]));
                    return true;
                }
                int tokens = Integer.parseInt(request.header("Token-Count").split(",")[0].trim());
                sleep((long) (tokens / tokensPerMilli));
                String handle = id + "h" + next.incrementAndGet();
                handles.put(handle, request.header("Attempt-Id"));
                out.write(
                        response(
                                200,
                                json,
                                ascii("{\"kv_handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}")));
                return true;
            }
            if (!stage.equals("decode")) {
                out.write(response(421, "Instance-Id: " + id + "\r\n", new byte[0]));
                return true;
            }
            RUNS.add(new Run(id, request));
            running.incrementAndGet();
            try {
                return decode(request, socket, out);
            } finally {
                running.decrementAndGet();
            }
        }

        boolean order(Message request, Socket socket, OutputStream out) throws Exception {
            orders++;
            out.write(response(202, "", new byte[0]));
            return true;
        }

        boolean decode(Message request, Socket socket, OutputStream out) throws Exception {
            String last = request.header("Last-Event-Id");
            out.write(
                    ascii(
                            "HTTP/1.1 200 OK\r\n"
                                    + head(request)
                                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            for (int event = from; event <= outputs(request); event++) {
                sleep(eventMillis);
                out.write(chunk("id: " + event + "\ndata: " + id + "-" + event + "\n\n"));
            }
            out.write(ascii("0\r\n\r\n"));
            return true;
        }
    }

    static byte[] chunk(String text) {
        return ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    // ------------------------------------------------------------------ routers

    /** Bounds of a script's site where they differ from those of the small deployments. */
    static final Map<String, String> BOUNDS = new LinkedHashMap<>();

    /** One router, started as the deploy file says. */
    static final class Router {
        final String name;
        final String zone;
        final String ip;
        final String caller;
        final String ready;
        final int peerPort;
        final String store;
        final Path settings;
        final Path log;
        Process process;

        Router(String name, String zone, String ip, String store, String peerSecretSeed) throws IOException {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.caller = ip + ":" + freePort(ip);
            this.ready = ip + ":" + freePort(ip);
            this.peerPort = freePort(ip);
            this.store = store;
            this.settings = TEMP.resolve(name + ".yaml");
            this.log = TEMP.resolve(name + ".log");
            Files.writeString(settings, render(peerSecretSeed));
        }

        /** Fills the template with the figures of the small deployments' pages. */
        private String render(String seed) throws IOException {
            String text = Files.readString(ROOT.resolve("deploy/settings.yaml"));
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("ip", ip);
            values.put("listen.frontend", caller);
            values.put("listen.ready", ready);
            values.put("internal_ports.0", String.valueOf(peerPort));
            values.put("platform.address", store);
            values.put("bounds.grace_s", "8");
            values.put("bounds.drain_ms", "2000");
            values.put("bounds.config_apply_ms", "2000");
            values.put("bounds.lease_ms", "3000");
            values.put("bounds.contact_ms", "3000");
            values.put("limits.cpu_share", "0.75");
            values.put("limits.cpu_cores", "1");
            values.put("limits.link_mbps", "1000.0");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_extra", "54");
            values.put("bounds.budget_window_s", "10");
            values.putAll(BOUNDS);
            // The secret must be the same at all routers, also where each has a store port of its own.
            text = text.replace("troutpier routers of {{platform.address}}", "troutpier routers of " + seed);
            text = text.replaceAll("(?s)\\{\\{#bounds[.]quota_window_s}}.*?\\{\\{/bounds[.]quota_window_s}}\n", "");
            text = text.replaceAll("(?s)\\{\\{#bounds[.]revoke_ms}}.*?\\{\\{/bounds[.]revoke_ms}}\n", "");
            for (Map.Entry<String, String> each : values.entrySet()) {
                text = text.replace("{{" + each.getKey() + "}}", each.getValue());
            }
            if (text.contains("{{")) {
                throw new IOException("a gap of the template is not filled: " + text);
            }
            return text;
        }

        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.directory(ROOT.toFile());
            builder.environment().put("TROUTPIER_CONFIG", settings.toString());
            builder.environment().put("TROUTPIER_LISTEN", caller);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            PROCESSES.add(process);
            note("router " + name + " started pid=" + process.pid() + " callers at " + caller);
        }

        /** Waits until the router calls itself ready. */
        boolean awaitReady(long millis) {
            long until = now() + millis;
            while (now() < until) {
                if (call(ready, "GET /troutpier/readyz HTTP/1.1\r\nHost: x\r\n", null, 500).status() == 200) {
                    return true;
                }
                sleep(100);
            }
            return false;
        }

        void signal(String name) throws IOException, InterruptedException {
            note("signal " + name + " to " + this.name);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        long residentKilobytes() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
            return 0;
        }
    }

    /** Starts a router in each of the zones and waits until they are ready; exits with 2 if they are not. */
    static List<Router> startRouters(List<String> zones, String store, Path record) throws Exception {
        String net = "127." + (20 + new java.util.Random().nextInt(200)) + "." + new java.util.Random().nextInt(250) + ".";
        List<Router> routers = new ArrayList<>();
        for (int index = 1; index <= zones.size(); index++) {
            String zone = zones.get(index - 1);
            Router router = new Router("edge-" + zone + "-" + index, zone, net + index, store, store);
            router.start();
            routers.add(router);
        }
        for (Router router : routers) {
            if (!router.awaitReady(30_000)) {
                note("not ready: " + router.name);
                finish(2, record);
            }
        }
        return routers;
    }

    /**
     * The platform's address for clients: it asks each router every second whether it is ready,
     * passes new connections to those that are in, and takes one out after two misses.
     */
    static final class Entry {
        final List<Router> routers;
        final Map<Router, Integer> misses = new ConcurrentHashMap<>();

        Entry(List<Router> routers) {
            this.routers = routers;
            for (Router router : routers) {
                misses.put(router, 0);
                spawn(
                        () -> {
                            while (true) {
                                long next = now() + 1000;
                                boolean ready =
                                        call(router.ready, "GET /troutpier/readyz HTTP/1.1\r\nHost: x\r\n", null, 1000)
                                                        .status()
                                                == 200;
                                int before = misses.get(router);
                                misses.put(router, ready ? 0 : before + 1);
                                if (!ready && before == 1) {
                                    note("the platform takes out " + router.name);
                                } else if (ready && before > 1) {
                                    note("the platform takes in " + router.name);
                                }
                                sleep(Math.max(1, next - now()));
                            }
                        });
            }
        }

        /** Chooses the router of a new connection, by a hash of the client. */
        Router choose(String zone, int client) {
            List<Router> all = new ArrayList<>();
            List<Router> in = new ArrayList<>();
            List<Router> elsewhere = new ArrayList<>();
            for (Router router : routers) {
                boolean isIn = misses.get(router) < 2;
                if (router.zone.equals(zone)) {
                    all.add(router);
                    if (isIn) {
                        in.add(router);
                    }
                } else if (isIn) {
                    elsewhere.add(router);
                }
            }
            List<Router> used = in.size() * 2 < all.size() ? all : in;
            if (in.isEmpty() && !elsewhere.isEmpty()) {
                used = elsewhere;
            }
            return used.get(Math.floorMod(client * 7919, used.size()));
        }
    }

    static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();

    /** A script ends after this time in any case, milliseconds. */
    static final long MAX_MILLIS = 112_000;

    static final Path TEMP;

    static {
        try {
            TEMP = Files.createTempDirectory("review");
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endProcesses));
        spawn(
                () -> {
                    sleep(MAX_MILLIS);
                    note("not finished in time");
                    finish(2, Path.of(System.getProperty("record")));
                });
    }

    private static void endProcesses() {
        for (Process each : List.copyOf(PROCESSES)) {
            each.destroyForcibly();
        }
    }

    /** Ends all routers, writes the record and exits. */
    static void finish(int code, Path record) throws Exception {
        for (Process each : List.copyOf(PROCESSES)) {
            each.destroyForcibly().waitFor();
        }
        note("exit " + code);
        if (record != null) {
            Files.write(record, LINES);
        }
        if (System.getenv("KEEP") == null) {
            for (File each : TEMP.toFile().listFiles()) {
                each.delete();
            }
            TEMP.toFile().delete();
        } else {
            System.out.println("kept " + TEMP);
        }
        Runtime.getRuntime().halt(code);
    }

    // ------------------------------------------------------------------ configuration

    static String route(String name, String prefix, String type, int timeout, int aim, String extra) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\"a.example\",\"path_prefix\":\""
                + prefix
                + "\",\"type\":\""
                + type
                + "\",\"timeout_ms\":"
                + timeout
                + ",\"target_latency_ms\":"
                + aim
                + ","
                + extra
                + "}";
    }

    static final String ENGINE =
            "{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
                    + "\"engine\":{\"slots\":64,\"kv_capacity\":89474,\"kv_bytes\":18432,\"link_mbps\":700000.0,\"migrations\":true,"
                    + "\"backups\":true,\"stride\":63,\"most\":12,\"kv_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
                    + "\"models\":[{\"name\":\"m\"}]}}";

    static String plainService(String name) {
        return "{\"name\":\""
                + name
                + "\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}";
    }

    static byte[] configuration(int version, List<String> routes, List<String> services) {
        return ascii(
                "{\"version\":"
                        + version
                        + ",\"routes\":["
                        + String.join(",", routes)
                        + "],\"services\":["
                        + String.join(",", services)
                        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    }
}
