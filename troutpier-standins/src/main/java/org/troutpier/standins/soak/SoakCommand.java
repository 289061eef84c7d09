package org.troutpier.standins.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.RunLog;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The callers and operators of a soak run, and its verdict. Confined to the command line's thread.
 */
@Command(
        name = "callers",
        mixinStandardHelpOptions = true,
        description = "Asks and changes while faults come, then holds all against the promises.")
public final class SoakCommand implements Callable<Integer> {

    /** How long engines may hold something after the last request, nanoseconds. */
    private static final long QUIET_NANOS = 20_000_000_000L;

    /** How often engines are asked whether they hold something, milliseconds. */
    private static final long POLL_MILLIS = 200;

    /** Where the routers take callers. */
    @Option(names = "--routers", required = true, split = ",")
    private List<String> mRouters;

    /** Where the routers take operators. */
    @Option(names = "--operators", required = true, split = ",")
    private List<String> mOperators;

    /** The engines. */
    @Option(names = "--engines", required = true, split = ",")
    private List<String> mEngines;

    /** Where the stand-ins wrote what ran. */
    @Option(names = "--ran", required = true)
    private Path mRan;

    /** How long new requests are made. */
    @Option(names = "--seconds", defaultValue = "30")
    private int mSeconds;

    /** Fixes what the callers do. */
    @Option(names = "--seed", defaultValue = "1")
    private long mSeed;

    /** How many callers there are. */
    @Option(names = "--callers", defaultValue = "24")
    private int mCallers;

    /** How many faults were planned, for the last line. */
    @Option(names = "--faults", defaultValue = "0")
    private int mFaults;

    /** Created by the command line. */
    private SoakCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException, IOException {
        EventLoopGroup loops = new NioEventLoopGroup(2);
        HttpClient calls = new HttpClient(loops);
        SoakLedger ledger = new SoakLedger();
        AtomicBoolean goOn = new AtomicBoolean(true);
        List<Address> routers = mRouters.stream().map(Address::parse).toList();
        List<Address> operators = mOperators.stream().map(Address::parse).toList();
        ChangeWatcher changes = new ChangeWatcher(calls, operators, ledger, goOn, mSeed);
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int caller = 0; caller < mCallers; caller++) {
            String name = "c" + caller;
            threads.execute(
                    new SoakCaller(calls, routers, ledger, goOn, name, mSeed * 1000 + caller));
        }
        threads.execute(changes);
        TimeUnit.SECONDS.sleep(mSeconds);
        goOn.set(false);
        threads.shutdown();
        final int patienceMinutes = 4;
        if (!threads.awaitTermination(patienceMinutes, TimeUnit.MINUTES)) {
            ledger.violation("some caller never ended");
        }
        awaitNothingHeld(calls, ledger);
        routers(calls, operators, ledger);
        ledger.compare(ran());
        List<String> violations = ledger.violations();
        violations.forEach(System.out::println);
        System.out.println("asks=" + ledger.asks() + " " + changes.summary());
        System.out.printf(
                "requests=%d faults=%d violations=%d%n",
                ledger.requests(), mFaults, violations.size());
        calls.close();
        loops.shutdownGracefully();
        return violations.isEmpty() ? 0 : 1;
    }

    /**
     * Waits until no engine holds anything.
     *
     * @param calls sends the requests
     * @param ledger takes note where one still does
     * @throws InterruptedException when the thread is interrupted
     */
    private void awaitNothingHeld(HttpClient calls, SoakLedger ledger) throws InterruptedException {
        long end = System.nanoTime() + QUIET_NANOS;
        String held = "?";
        while (!held.isEmpty() && System.nanoTime() < end) {
            held = held(calls);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        if (!held.isEmpty()) {
            ledger.violation("still held: " + held);
        }
    }

    /**
     * Asks all engines what they hold.
     *
     * @param calls sends the requests
     * @return what is held, empty for nothing
     */
    private String held(HttpClient calls) {
        StringBuilder held = new StringBuilder();
        for (String engine : mEngines) {
            JsonNode node = get(calls, Address.parse(engine), "/v1/holding");
            if (node == null) {
                held.append(engine).append(" does not answer ");
            } else if (!node.isEmpty()) {
                held.append(engine).append(node).append(' ');
            }
        }
        return held.toString();
    }

    /**
     * Checks what the routers say of themselves, once they are up again.
     *
     * @param calls sends the requests
     * @param operators where they take operators
     * @param ledger takes note of what is wrong
     * @throws InterruptedException when the thread is interrupted
     */
    private static void routers(HttpClient calls, List<Address> operators, SoakLedger ledger)
            throws InterruptedException {
        for (Address operator : operators) {
            long end = System.nanoTime() + QUIET_NANOS;
            String fault = fault(calls, operator);
            while (!fault.isEmpty() && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
                fault = fault(calls, operator);
            }
            if (!fault.isEmpty()) {
                ledger.violation(operator + " " + fault);
            }
        }
    }

    /**
     * Says what is wrong with a router.
     *
     * @param calls sends the requests
     * @param operator where it takes operators
     * @return a few words, empty for nothing
     */
    private static String fault(HttpClient calls, Address operator) {
        JsonNode metrics = get(calls, operator, "/metrics");
        if (metrics == null) {
            return "does not answer in the end";
        }
        if (metrics.path("invariant").asInt() != 0) {
            return "has broken invariants";
        }
        return metrics.path("requests-carried").asInt() == 0 ? "" : "still carries requests";
    }

    /**
     * Asks one address.
     *
     * @param calls sends the requests
     * @param address where
     * @param path the path
     * @return the answer, or null
     */
    private static JsonNode get(HttpClient calls, Address address, String path) {
        try {
            return calls.call(HttpCall.of("GET", address.url(path))).join().as(JsonNode.class);
        } catch (CompletionException exception) {
            return null;
        }
    }

    /**
     * Reads what ran.
     *
     * @return the entries of all stand-ins, killed ones included
     * @throws IOException when a file cannot be read
     */
    private List<RunLog.Entry> ran() throws IOException {
        List<RunLog.Entry> entries = new ArrayList<>();
        try (Stream<Path> files = Files.list(mRan)) {
            for (Path file : files.filter(one -> one.toString().endsWith(".ran")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    String[] cells = line.split("\t", -1);
                    if (cells.length == 3) {
                        entries.add(new RunLog.Entry(cells[0], cells[1], cells[2]));
                    }
                }
            }
        }
        return entries;
    }
}
