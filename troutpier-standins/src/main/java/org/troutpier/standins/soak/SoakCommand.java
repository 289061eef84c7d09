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
 * Runs the callers and operators of a soak run and checks the guarantees. Confined to the thread of
 * the command line.
 */
@Command(
        name = "callers",
        mixinStandardHelpOptions = true,
        description =
                "Sends requests and changes while faults are injected, then checks the guarantees.")
public final class SoakCommand implements Callable<Integer> {

    /** How long engines and routers may take to settle after the last request. */
    private static final long SETTLE_TIMEOUT_NANOS = 20_000_000_000L;

    /** Interval between two polls of an engine or router. */
    private static final long POLL_MILLIS = 200;

    /** The caller addresses of the routers. */
    @Option(names = "--routers", required = true, split = ",")
    private List<String> mRouters;

    /** The operator addresses of the routers. */
    @Option(names = "--operators", required = true, split = ",")
    private List<String> mOperators;

    @Option(names = "--engines", required = true, split = ",")
    private List<String> mEngines;

    /** Directory of the run logs of the stand-ins. */
    @Option(names = "--ran", required = true)
    private Path mRan;

    /** How long new requests are started. */
    @Option(names = "--seconds", defaultValue = "30")
    private int mSeconds;

    /** Seed of the random generators of callers and operators. */
    @Option(names = "--seed", defaultValue = "1")
    private long mSeed;

    @Option(names = "--callers", defaultValue = "24")
    private int mCallers;

    /** Number of planned faults, printed in the last line. */
    @Option(names = "--faults", defaultValue = "0")
    private int mFaults;

    /** Instantiated by picocli. */
    private SoakCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException, IOException {
        EventLoopGroup loops = new NioEventLoopGroup(2);
        HttpClient calls = new HttpClient(loops);
        SoakLedger ledger = new SoakLedger();
        AtomicBoolean running = new AtomicBoolean(true);
        List<Address> routers = mRouters.stream().map(Address::parse).toList();
        List<Address> operators = mOperators.stream().map(Address::parse).toList();
        ChangeWatcher changeWatcher = new ChangeWatcher(calls, operators, ledger, running, mSeed);
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int caller = 0; caller < mCallers; caller++) {
            String name = "c" + caller;
            threads.execute(
                    new SoakCaller(calls, routers, ledger, running, name, mSeed * 1000 + caller));
        }
        threads.execute(changeWatcher);
        TimeUnit.SECONDS.sleep(mSeconds);
        running.set(false);
        threads.shutdown();
        final int timeoutMinutes = 4;
        if (!threads.awaitTermination(timeoutMinutes, TimeUnit.MINUTES)) {
            ledger.recordViolation("callers did not finish within the time limit");
        }
        awaitEnginesIdle(calls, ledger);
        checkRouters(calls, operators, ledger);
        ledger.checkRuns(readRunLogs());
        List<String> violations = ledger.violations();
        violations.forEach(System.out::println);
        System.out.println("asks=" + ledger.attempts() + " " + changeWatcher.summary());
        System.out.printf(
                "requests=%d faults=%d violations=%d%n",
                ledger.requests(), mFaults, violations.size());
        calls.close();
        loops.shutdownGracefully();
        return violations.isEmpty() ? 0 : 1;
    }

    /**
     * Waits until no engine holds work or memory.
     *
     * @param calls the HTTP client
     * @param ledger records a violation when one still does after the time-out
     * @throws InterruptedException when the thread is interrupted
     */
    private void awaitEnginesIdle(HttpClient calls, SoakLedger ledger) throws InterruptedException {
        long end = System.nanoTime() + SETTLE_TIMEOUT_NANOS;
        String held = "?";
        while (!held.isEmpty() && System.nanoTime() < end) {
            held = findHeldWork(calls);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        if (!held.isEmpty()) {
            ledger.recordViolation("still held: " + held);
        }
    }

    /**
     * Reads from all engines what they hold.
     *
     * @param calls the HTTP client
     * @return what is held, empty when nothing is
     */
    private String findHeldWork(HttpClient calls) {
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
     * Checks the metrics of the routers; a router may still be restarting.
     *
     * @param calls the HTTP client
     * @param operators the operator addresses of the routers
     * @param ledger records violations
     * @throws InterruptedException when the thread is interrupted
     */
    private static void checkRouters(HttpClient calls, List<Address> operators, SoakLedger ledger)
            throws InterruptedException {
        for (Address operator : operators) {
            long end = System.nanoTime() + SETTLE_TIMEOUT_NANOS;
            String fault = findFault(calls, operator);
            while (!fault.isEmpty() && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
                fault = findFault(calls, operator);
            }
            if (!fault.isEmpty()) {
                ledger.recordViolation(operator + " " + fault);
            }
        }
    }

    /**
     * Describes what is wrong with a router.
     *
     * @param calls the HTTP client
     * @param operator the operator address of the router
     * @return the description, empty when nothing is wrong
     */
    private static String findFault(HttpClient calls, Address operator) {
        JsonNode metrics = get(calls, operator, "/metrics");
        if (metrics == null) {
            return "does not answer after the run";
        }
        if (metrics.path("invariant").asInt() != 0) {
            return "has broken invariants";
        }
        return metrics.path("requests-carried").asInt() == 0 ? "" : "still carries requests";
    }

    /**
     * Reads a path of an address.
     *
     * @param calls the HTTP client
     * @param address the address
     * @param path the path
     * @return the answer, or null when the call failed
     */
    private static JsonNode get(HttpClient calls, Address address, String path) {
        try {
            return calls.call(HttpCall.of("GET", address.url(path))).join().as(JsonNode.class);
        } catch (CompletionException exception) {
            return null;
        }
    }

    /**
     * Reads the run logs.
     *
     * @return the entries of all stand-ins, killed ones included
     * @throws IOException when a file cannot be read
     */
    private List<RunLog.Entry> readRunLogs() throws IOException {
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
