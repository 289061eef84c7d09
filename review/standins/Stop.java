import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Clients read answers over a few seconds, as over a slow link. One of three routers is stopped with
 * SIGTERM meanwhile.
 */
final class Stop {

    static final int TIMEOUT = 14_000;

    private static final int IPPROTO_TCP = 6;

    private static final int TCP_MAXSEG = 2;

    static final int ANSWER_BYTES = 3_000_000;

    /** What a client reads in a step of 100 ms: the answer takes 8 s. */
    static final int STEP_BYTES = ANSWER_BYTES / 80;

    static final class Read {
        final String id;
        final String router;
        final long sentAt = Rig.now();
        volatile long endedAt = -1;
        volatile int read;
        volatile String outcome = "none";

        Read(String id, String router) {
            this.id = id;
            this.router = router;
        }
    }

    static final List<Read> READS = Collections.synchronizedList(new ArrayList<>());

    /**
     * Opens a socket whose connection uses segments of 1,460 bytes, as over a network: with the
     * 64 kB segments of a loopback interface, the kernel alone buffers several MB for each reader.
     */
    static SocketChannel openWithSegmentsOfEthernet() throws IOException {
        try {
            SocketChannel channel = SocketChannel.open(StandardProtocolFamily.INET);
            Field descriptor = channel.getClass().getDeclaredField("fd");
            descriptor.setAccessible(true);
            Method setOption =
                    Class.forName("sun.nio.ch.Net")
                            .getDeclaredMethod(
                                    "setIntOption0",
                                    FileDescriptor.class,
                                    boolean.class,
                                    int.class,
                                    int.class,
                                    int.class,
                                    boolean.class);
            setOption.setAccessible(true);
            setOption.invoke(null, descriptor.get(channel), false, IPPROTO_TCP, TCP_MAXSEG, 1460, false);
            return channel;
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("cannot set the size of segments", exception);
        }
    }

    static void read(String id, Rig.Router router, String path) {
        Read read = new Read(id, router.name);
        READS.add(read);
        try (SocketChannel channel = openWithSegmentsOfEthernet()) {
            Socket socket = channel.socket();
            socket.setReceiveBufferSize(8192);
            int colon = router.caller.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(
                            router.caller.substring(0, colon),
                            Integer.parseInt(router.caller.substring(colon + 1))),
                    1000);
            socket.setSoTimeout(TIMEOUT);
            socket.getOutputStream()
                    .write(
                            Rig.ascii(
                                    "POST "
                                            + path
                                            + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                                            + id
                                            + "\r\nDeadline-Ms: "
                                            + TIMEOUT
                                            + "\r\nContent-Length: 5\r\n\r\nhello"));
            InputStream in = socket.getInputStream();
            Rig.Message head = Rig.readHead(in);
            if (head == null) {
                read.outcome = "closed without an answer";
                return;
            }
            int length = Integer.parseInt(head.header("Content-Length"));
            while (read.read < length) {
                Rig.sleep(100);
                for (int step = 0; step < STEP_BYTES && read.read < length; ) {
                    byte[] bytes = new byte[Math.min(STEP_BYTES - step, length - read.read)];
                    int count = in.read(bytes);
                    if (count < 0) {
                        read.outcome = head.status() + ", cut";
                        return;
                    }
                    step += count;
                    read.read += count;
                }
            }
            read.outcome = head.status() + ", whole";
        } catch (IOException exception) {
            read.outcome = "cut: " + exception.getMessage();
        } finally {
            read.endedAt = Rig.now();
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path record = Path.of(System.getProperty("record"));
        Rig.BOUNDS.putAll(
                Map.of(
                        "bounds.drain_ms", "3000",
                        "bounds.config_apply_ms", "3000",
                        "bounds.contact_ms", "4000",
                        "bounds.retry_extra", "158"));
        Rig.Store store = new Rig.Store();
        Rig.Server port = store.open("127.0.0.1", null);
        store.put(
                "op",
                "",
                "config",
                Rig.configuration(
                        3,
                        List.of(Rig.route("pdf", "/pdf/", "non_idempotent", TIMEOUT, 900, "\"priority\":2,\"service\":\"web\",\"max_attempts\":1")),
                        List.of(Rig.plainService("web"))));
        for (int index = 0; index < 3; index++) {
            new Rig.Plain(store, "w" + index, "web", "z" + index, 6, 60).answerBytes = ANSWER_BYTES;
        }
        List<Rig.Router> routers = Rig.startRouters(List.of("z0", "z0", "z0"), port.address(), record);
        Rig.sleep(8000);
        Rig.Entry entry = new Rig.Entry(routers);
        long stopAt = Rig.now() + 5000;
        long until = Rig.now() + 14_000;
        long stoppedAt = -1;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; Rig.now() < until; number++) {
            int client = number;
            clients.add(Rig.spawn(() -> read("r" + client, entry.choose("z0", client), "/pdf/" + client)));
            if (trouble && stoppedAt < 0 && Rig.now() >= stopAt) {
                stoppedAt = Rig.now();
                routers.get(0).signal("TERM");
            }
            Rig.sleep(500);
        }
        for (Thread each : clients) {
            each.join(20_000);
        }
        int cut = 0;
        for (Read each : READS) {
            boolean whole = each.outcome.endsWith("whole");
            boolean ran = Rig.RUNS.stream().anyMatch(run -> run.id().equals(each.id));
            Rig.note(
                    each.id
                            + " at "
                            + each.router
                            + " sent="
                            + each.sentAt
                            + " run="
                            + ran
                            + " read="
                            + each.read
                            + " outcome="
                            + each.outcome
                            + " ended="
                            + each.endedAt
                            + (stoppedAt < 0 ? "" : " after SIGTERM " + (each.endedAt - stoppedAt)));
            boolean excused = each.endedAt - each.sentAt >= TIMEOUT;
            if (!whole && ran && !excused) {
                cut++;
            }
        }
        Rig.note("answers cut that a replica had given whole: " + cut + " of " + READS.size());
        Rig.finish(cut > 0 ? 1 : 0, record);
    }
}
