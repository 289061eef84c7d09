package org.troutpier.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the request rates that overloaded upstreams announced. Confined to one thread. */
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

    /** Format of a line. */
    private static final String LINE = "%-20s %-20s %10s %10s %10s %10s %10s%n";

    private static final List<CliMain.Column> COLUMNS =
            List.of(
                    new CliMain.Column("upstream", "upstream"),
                    new CliMain.Column("rate", "perSecond"),
                    new CliMain.Column("age ms", "ageMillis"),
                    new CliMain.Column("here", "here"),
                    new CliMain.Column("elsewhere", "elsewhere"),
                    new CliMain.Column("withheld", "withheld"));

    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        mConnection.table("/rates", LINE, COLUMNS);
        return 0;
    }
}
