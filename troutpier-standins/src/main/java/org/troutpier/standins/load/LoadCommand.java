package org.troutpier.standins.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.CheckedYaml;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs load and prints the results. Confined to the thread of the command line. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends open-loop load and prints the results.")
public final class LoadCommand implements Callable<Integer> {

    @Option(names = "--mix", required = true, description = "YAML file with the streams")
    private Path mMix;

    /** The addresses of the routers, or of a prefill and a decode engine. */
    @Option(names = "--to", required = true, split = ",", description = "IP:port, several")
    private List<String> mTo;

    /** Whether to bypass the routers. */
    @Option(names = "--straight", description = "--to names a prefill and a decode engine")
    private boolean mStraight;

    /** How long counted requests are sent. */
    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "how long counted requests are sent")
    private double mSeconds;

    /** How long requests are sent before they are counted. */
    @Option(names = "--warm-up", defaultValue = "0", description = "seconds not counted before")
    private double mWarmUp;

    @Option(names = "--seed", defaultValue = "1", description = "seed of arrivals and lengths")
    private long mSeed;

    @Option(names = "--scale", defaultValue = "1", description = "multiplies every rate")
    private double mScale;

    @Option(names = "--output", defaultValue = "table", description = "table or json")
    private String mOutput;

    /** Instantiated by picocli. */
    private LoadCommand() {}

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        LoadMix mix = CheckedYaml.read(mMix, LoadMix.class);
        LoadMix scaled =
                new LoadMix(mix.streams().stream().map(stream -> stream.scaled(mScale)).toList());
        EventLoopGroup loops = new NioEventLoopGroup(2);
        HttpClient calls = new HttpClient(loops);
        Map<String, Map<String, Object>> figures =
                new LoadRun(loops, target(calls), scaled).run(mWarmUp, mSeconds, mSeed);
        if (mOutput.equals("json")) {
            System.out.println(new String(Json.bytes(figures), StandardCharsets.UTF_8));
        } else {
            print(figures);
        }
        calls.close();
        loops.shutdownGracefully();
        return 0;
    }

    /**
     * Creates the target.
     *
     * @param calls the HTTP client
     * @return the target
     */
    private LoadTarget target(HttpClient calls) {
        List<Address> addresses = mTo.stream().map(Address::parse).toList();
        return mStraight
                ? new LoadTarget.StraightToEngines(calls, addresses.get(0), addresses.get(1))
                : new LoadTarget.ThroughRouters(calls, addresses);
    }

    /**
     * Prints the results as a table.
     *
     * @param figures the results by stream
     */
    private void print(Map<String, Map<String, Object>> figures) {
        System.out.printf(
                Locale.ROOT,
                "%-16s %7s %7s %7s %6s  %-26s %-26s %s%n",
                "stream",
                "sent",
                "whole",
                "good",
                "wrong",
                "first ms p50/p95/p99",
                "between ms p50/p95/p99",
                "other ends");
        figures.forEach(
                (name, row) ->
                        System.out.printf(
                                Locale.ROOT,
                                "%-16s %7s %7s %7s %6s  %-26s %-26s %s%n",
                                name,
                                row.get("sent"),
                                row.get("whole"),
                                row.get("good"),
                                row.get("wrong"),
                                row.get("first_ms"),
                                row.get("between_ms"),
                                row.get("ends")));
    }
}
