package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.troutpier.common.settings.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the rates that upstreams in need name. Confined to one thread. */
@Command(
        name = "rates",
        mixinStandardHelpOptions = true,
        description = "Shows upstreams that name how many requests a second they take.",
        footer = {
            "",
            "Here and elsewhere are what an upstream was sent by this router and by the others in",
            "the last four seconds; withheld counts requests that this router did not send to it.",
            "Only upstreams that name a rate are listed. --router names the port of a router's",
            "figures.",
            "  troutpier rates --router 10.1.0.35:9464,10.1.0.36:9464"
        })
final class RatesCommand implements Callable<Integer> {

    /** How an upstream is shown. */
    private static final String LINE = "%-20s %-20s %10s %10s %10s %10s %10s%n";

    /** Where the routers are. */
    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        String heading =
                LINE.formatted(
                        "router", "upstream", "rate", "age ms", "here", "elsewhere", "withheld");
        mConnection.list("/rates", heading, RatesCommand::show);
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
                upstream.path("perSecond").asText(),
                upstream.path("ageMillis").asText(),
                upstream.path("here").asText(),
                upstream.path("elsewhere").asText(),
                upstream.path("withheld").asText());
    }
}
