package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import org.troutpier.common.settings.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Shows the contents and parts of requests that crashed upstreams, or clears one. Confined to one
 * thread.
 */
@Command(
        name = "quarantine",
        mixinStandardHelpOptions = true,
        description =
                "Shows requests and parts of prompts under which upstreams ended, or clears one.",
        footer = {
            "",
            "Each router knows the same within seconds; --router names the port of its figures.",
            "  troutpier quarantine --router 10.1.0.35:9464",
            "  troutpier quarantine --router 10.1.0.35:9464 --clear 3fa09c41",
            "  troutpier quarantine --router 10.1.0.35:9464 --clear part:5c1e07a2"
        })
final class QuarantineCommand implements Callable<Integer> {

    /**
     * Format of a line: short name, whether it is held, how often it was cleared, upstreams that
     * crashed.
     */
    private static final String LINE = "%-14s %-6s %7s  %s%n";

    /** The short name of a content, or more digits of its fingerprint; or a part with its id. */
    private static final Pattern NAME =
            Pattern.compile("[0-9a-f]{8,32}|part:~?[0-9A-Za-z._-]{1,64}");

    @Mixin private CliMain.Connection mConnection;

    @Option(
            names = "--clear",
            defaultValue = "",
            description = "the request or part to be cleared, by its name in the list")
    private String mClear;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        CliSettings settings = mConnection.settings();
        try (RouterClient client = new RouterClient(settings.token())) {
            if (mClear.isEmpty()) {
                show(client, settings.routers());
                return 0;
            }
            if (!NAME.matcher(mClear).matches()) {
                throw new CliException(
                        ExitCode.WRONG_INPUT,
                        "--clear takes 8 to 32 hexadecimal digits, or part: and an id");
            }
            String path = "/quarantine/clear?content=" + mClear;
            JsonNode answer = client.post(settings.routers(), path, List.of());
            int cleared = answer.path("cleared").asInt();
            System.out.printf("cleared: %d%n", cleared);
            return cleared > 0 ? 0 : ExitCode.REFUSED.number();
        }
    }

    /**
     * Prints the quarantine of the first router that can be reached.
     *
     * @param routers where they are
     */
    private static void show(RouterClient client, List<Address> routers) {
        System.out.printf(LINE, "trait", "held", "cleared", "upstreams that ended");
        for (JsonNode each : client.getFromFirst(routers, "/quarantine")) {
            List<String> ended = new ArrayList<>();
            each.path("ended").forEach(upstream -> ended.add(upstream.asText()));
            System.out.printf(
                    Locale.ROOT,
                    LINE,
                    each.path("content").asText(),
                    each.path("held").asBoolean() ? "yes" : "no",
                    each.path("generation").asText(),
                    String.join(" ", ended));
        }
    }
}
