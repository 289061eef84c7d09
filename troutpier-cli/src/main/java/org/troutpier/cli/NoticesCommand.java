package org.troutpier.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the leaving and back-off notices of upstreams. Confined to one thread. */
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

    /** Format of a line. */
    private static final String LINE = "%-20s %-20s %8s %12s %8s %10s%n";

    private static final List<CliMain.Column> COLUMNS =
            List.of(
                    new CliMain.Column("upstream", "upstream"),
                    new CliMain.Column("leaving", "leaving"),
                    new CliMain.Column("back-off ms", "backOffMillis"),
                    new CliMain.Column("sent", "sentSince"),
                    new CliMain.Column("withheld", "withheld"));

    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        mConnection.table("/notices", LINE, COLUMNS);
        return 0;
    }
}
