package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.troutpier.common.settings.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the usage and limits of organisations. Confined to one thread. */
@Command(
        name = "organisations",
        mixinStandardHelpOptions = true,
        description = "Shows organisations, what they use against their limits, and refusals.",
        footer = {
            "",
            "Use is of the window of limits, in the limit's unit; most is what may be used of the",
            "limit now, which is less where routers do not hear each other or have just started.",
            "Each router shows its own use and refusals; --router names the port of its figures.",
            "  troutpier organisations --router 10.1.0.35:9464,10.1.0.36:9464"
        })
final class OrganisationsCommand implements Callable<Integer> {

    /** Format of a line. */
    private static final String LINE = "%-20s %-20s %-8s %10s %10s %10s %10s %8s  %s%n";

    @Mixin private CliMain.Connection mConnection;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        String heading =
                LINE.formatted(
                        "router",
                        "organisation",
                        "unit",
                        "limit",
                        "most",
                        "here",
                        "elsewhere",
                        "refused",
                        "keys");
        mConnection.list("/organisations", heading, OrganisationsCommand::show);
        return 0;
    }

    private static void show(Address router, JsonNode organisation) {
        List<String> keys = new ArrayList<>();
        organisation.path("keys").forEach(key -> keys.add(key.asText()));
        long limit = organisation.path("limit").asLong();
        System.out.printf(
                Locale.ROOT,
                LINE,
                router,
                organisation.path("organisation").asText(),
                organisation.path("unit").asText(),
                limit == 0 ? "none" : Long.toString(limit),
                limit == 0 ? "" : organisation.path("most").asText(),
                organisation.path("here").asText(),
                organisation.path("elsewhere").asText(),
                organisation.path("refused").asText(),
                String.join(" ", keys));
    }
}
