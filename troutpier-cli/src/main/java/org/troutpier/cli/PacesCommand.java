package org.troutpier.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the pace of upstreams. Confined to one thread. */
@Command(
        name = "paces",
        mixinStandardHelpOptions = true,
        description = "Shows how many times as long as the others of its kind an upstream takes.",
        footer = {
            "",
            "Here and elsewhere are the weights of the measurements of this router and of the",
            "others in the last seconds; passed over counts prompts that this router sent to",
            "another engine for the pace. All paces are 1 where load.pace is off. --router names",
            "the port of a router's figures.",
            "  troutpier paces --router 10.1.0.35:9464"
        })
final class PacesCommand implements Callable<Integer> {

    /** Format of a line. */
    private static final String LINE = "%-20s %-20s %10s %10s %10s %10s %11s%n";

    private static final List<CliMain.Column> COLUMNS =
            List.of(
                    new CliMain.Column("upstream", "upstream"),
                    new CliMain.Column("role", "role"),
                    new CliMain.Column("pace", "pace"),
                    new CliMain.Column("here", "here"),
                    new CliMain.Column("elsewhere", "elsewhere"),
                    new CliMain.Column("passed over", "passedOver"));

    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        mConnection.table("/paces", LINE, COLUMNS);
        return 0;
    }
}
