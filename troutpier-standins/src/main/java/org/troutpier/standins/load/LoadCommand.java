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

/** Runs load and prints one table. Confined to the command line's thread. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends open-loop load and prints what came of it.")
public final class LoadCommand implements Callable<Integer> {

    /** The mix. */
    @Option(names = "--mix", required = true, description = "YAML file with the streams")
    private Path mMix;

    /** The routers, or the prefill and the decode engine. */
    @Option(names = "--to", required = true, split = ",", description = "IP:port, several")
    private List<String> mTo;

    /** Whether to go round the routers. */
    @Option(names = "--straight", description = "--to names a prefill and a decode engine")
    private boolean mStraight;

    /** How long requests leave. */
    @Option(names = "--seconds", defaultValue = "10", description = "how long requests leave")
    private double mSeconds;

    /** How long requests leave before they are counted. */
    @Option(names = "--warm-up", defaultValue = "0", description = "seconds not counted before")
    private double mWarmUp;

    /** Fixes arrivals and lengths. */
    @Option(names = "--seed", defaultValue = "1", description = "fixes arrivals and lengths")
    private long mSeed;

    /** Multiplies every rate. */
    @Option(names = "--scale", defaultValue = "1", description = "multiplies every rate")
    private double mScale;

    /** The form of the output. */
    @Option(names = "--output", defaultValue = "table", description = "table or json")
    private String mOutput;

    /** Created by the command line. */
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
     * Makes the target.
     *
     * @param calls sends the requests
     * @return the target
     */
    private LoadTarget target(HttpClient calls) {
        List<Address> addresses = mTo.stream().map(Address::parse).toList();
        return mStraight
                ? new LoadTarget.StraightToEngines(calls, addresses.get(0), addresses.get(1))
                : new LoadTarget.ThroughRouters(calls, addresses);
    }

    /**
     * Prints the table for people.
     *
     * @param figures the figures by stream
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
