package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.troutpier.common.settings.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows what upstreams announce of themselves. Confined to one thread. */
@Command(
        name = "notices",
        mixinStandardHelpOptions = true,
        description = "Shows upstreams that announce that they leave, or ask for a back-off.",
        footer = {
            "",
            "A back-off binds the router that was asked for it; a leaving binds all. Sent counts",
            "calls since the last new announcement, withheld those that were not sent.",
            "--router names the port of a router's figures.",
            "  troutpier notices --router 10.1.0.35:9464,10.1.0.36:9464"
        })
final class NoticesCommand implements Callable<Integer> {

    /** How an upstream is shown. */
    private static final String LINE = "%-20s %-20s %8s %12s %8s %10s%n";

    /** Where the routers are. */
    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        String heading =
                LINE.formatted("router", "upstream", "leaving", "back-off ms", "sent", "withheld");
        mConnection.list("/notices", heading, NoticesCommand::show);
        return 0;
    }

    /**
     * Shows one upstream.
     *
     * @param router who reports it
     * @param upstream what it reports
     */
    private static void show(Address router, JsonNode upstream) {
        System.out.printf(
                Locale.ROOT,
                LINE,
                router,
                upstream.path("upstream").asText(),
                upstream.path("leaving").asText(),
                upstream.path("backOffMillis").asText(),
                upstream.path("sentSince").asText(),
                upstream.path("withheld").asText());
    }
}
