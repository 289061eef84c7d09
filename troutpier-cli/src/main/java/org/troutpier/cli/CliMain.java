package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.CheckedYaml;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The operators' command-line tool. Confined to the main thread. */
@Command(
        name = "troutpier",
        mixinStandardHelpOptions = true,
        version = "troutpier 0.1.0",
        description = "Declares, asks and commands troutpier's routers.",
        footer = {
            "",
            "Exit codes: 0 done, 1 refused, 2 wrong input, 3 outcome unknown, 4 no router reached,",
            "5 differences found.",
            "",
            "Examples:",
            "  troutpier apply -f examples/association",
            "  troutpier run 'show requests where class = repair-note order by age_ms desc'",
            "  troutpier run 'drain decode-1'",
            "  troutpier timeline --request 5f0c..."
        },
        subcommands = {
            CliMain.Validate.class,
            CliMain.Diff.class,
            CliMain.Apply.class,
            CliMain.Run.class,
            CliMain.Status.class,
            CliMain.ShowTimeline.class,
            OrganisationsCommand.class,
            QuarantineCommand.class,
            RatesCommand.class,
            PacesCommand.class,
            NoticesCommand.class,
            GenerateCompletion.class
        })
public final class CliMain {

    /** Created by the command line. */
    private CliMain() {}

    /**
     * Runs the tool.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /**
     * Creates the command line.
     *
     * @return the command line, which maps exceptions to exit codes
     */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new CliMain());
        line.setExecutionExceptionHandler(
                (exception, command, result) -> {
                    command.getErr().println(exception.getMessage());
                    if (exception instanceof CliException known) {
                        return known.exitCode().number();
                    }
                    return exception instanceof CallFailedException
                            ? ExitCode.UNREACHED.number()
                            : ExitCode.WRONG_INPUT.number();
                });
        return line;
    }

    /** Options for the routers' addresses and the operator's token. Confined to the main thread. */
    static final class Connection {

        @Option(names = "--settings", description = "YAML file with routers and token")
        private Path mSettings;

        @Option(
                names = "--router",
                split = ",",
                description = "IP:port of the routers' operator ports; env TROUTPIER_ROUTER")
        private List<String> mRouters = new ArrayList<>();

        @Option(names = "--token", description = "operator's token; env TROUTPIER_TOKEN")
        private String mToken;

        /**
         * Returns the settings from the file or, without one, from the options and the environment.
         */
        CliSettings settings() {
            if (mSettings != null) {
                try {
                    return CheckedYaml.read(mSettings, CliSettings.class);
                } catch (TroutpierException exception) {
                    throw new CliException(ExitCode.WRONG_INPUT, exception.getMessage());
                }
            }
            List<String> routers = mRouters;
            String fromEnvironment = System.getenv("TROUTPIER_ROUTER");
            if (routers.isEmpty() && fromEnvironment != null) {
                routers = List.of(fromEnvironment.split(","));
            }
            String token = mToken == null ? System.getenv("TROUTPIER_TOKEN") : mToken;
            if (routers.isEmpty() || token == null) {
                throw new CliException(
                        ExitCode.WRONG_INPUT, "give --settings, or --router and --token");
            }
            return new CliSettings(routers.stream().map(Address::parse).toList(), token);
        }

        /**
         * Prints a list as a table, whose first column is the router that reported the entry.
         *
         * @param line format of a line, router first
         */
        void table(String path, String line, List<Column> columns) {
            Stream<String> headings = columns.stream().map(Column::heading);
            list(
                    path,
                    line.formatted(Stream.concat(Stream.of("router"), headings).toArray()),
                    (router, entry) -> {
                        Stream<String> shown =
                                columns.stream().map(each -> entry.path(each.field()).asText());
                        System.out.printf(
                                Locale.ROOT,
                                line,
                                Stream.concat(Stream.of(router), shown).toArray());
                    });
        }

        /** Prints a list as reported by each router. */
        void list(String path, String heading, BiConsumer<Address, JsonNode> show) {
            CliSettings settings = settings();
            try (RouterClient client = new RouterClient(settings.token())) {
                System.out.print(heading);
                for (Address router : settings.routers()) {
                    client.getFromFirst(List.of(router), path)
                            .forEach(entry -> show.accept(router, entry));
                }
            }
        }
    }

    /**
     * A column of a list.
     *
     * @param heading the heading
     * @param field the field of an entry that it shows
     */
    record Column(String heading, String field) {}

    /** Checks declarations in files. */
    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description = "Checks declarations in files.")
    static final class Validate implements Callable<Integer> {

        @Option(names = "-f", required = true, description = "directory or file")
        private Path mFiles;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            DeclarationPart part = DeclarationFiles.read(mFiles);
            System.out.printf(
                    "valid: %d partners, %d upstreams, %d classes%n",
                    part.partners().size(), part.upstreams().size(), part.classes().size());
            return 0;
        }
    }

    /** Compares declarations in files with the active ones. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Compares declarations in files with those in force.")
    static final class Diff implements Callable<Integer> {

        @Mixin private Connection mConnection;

        @Option(names = "-f", required = true, description = "directory or file")
        private Path mFiles;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            DeclarationPart part = DeclarationFiles.read(mFiles);
            CliSettings settings = mConnection.settings();
            try (RouterClient client = new RouterClient(settings.token())) {
                JsonNode inForce = client.getFromFirst(settings.routers(), "/v1/declarations");
                List<String> lines = DeclarationDiff.between(part, inForce);
                lines.forEach(System.out::println);
                return lines.isEmpty() ? 0 : ExitCode.DIFFERS.number();
            }
        }
    }

    /** Applies declarations. */
    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            description = "Puts declarations in files in force everywhere, or is refused.")
    static final class Apply implements Callable<Integer> {

        @Mixin private Connection mConnection;

        @Option(names = "-f", required = true, description = "directory or file")
        private Path mFiles;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            DeclarationPart part = DeclarationFiles.read(mFiles);
            CliSettings settings = mConnection.settings();
            try (RouterClient client = new RouterClient(settings.token())) {
                JsonNode inForce = client.getFromFirst(settings.routers(), "/v1/declarations");
                if (DeclarationDiff.between(part, inForce).isEmpty()) {
                    System.out.println("unchanged, version " + inForce.path("version"));
                    return 0;
                }
                JsonNode reply = client.post(settings.routers(), "/v1/declarations", part);
                System.out.println("accepted as version " + reply.path("version"));
                return 0;
            }
        }
    }

    /** Runs a query or a command. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a query or a command of the small language.",
            footer = {
                "",
                "Examples:",
                "  show requests where class = repair-note and state = decode",
                "  show upstreams where state != live order by running desc limit 5",
                "  show capacity | show routers | show classes | show partners | show changes",
                "  set class machine-status deadlineMillis = 1500",
                "  assign engine-3 role prefill",
                "  drain decode-1 | undrain decode-1",
                "  cancel request 5f0c..."
            })
    static final class Run implements Callable<Integer> {

        @Mixin private Connection mConnection;

        @Parameters(paramLabel = "TEXT", description = "the query or command")
        private String mText;

        @Option(names = "--output", defaultValue = "table", description = "table or json")
        private String mOutput;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            CliSettings settings = mConnection.settings();
            try (RouterClient client = new RouterClient(settings.token())) {
                JsonNode reply =
                        client.post(settings.routers(), "/v1/command", Map.of("text", mText));
                if (mOutput.equals("json")) {
                    System.out.println(reply);
                } else if (reply.has("columns")) {
                    TextTable.format(reply).forEach(System.out::println);
                } else {
                    System.out.println("accepted as version " + reply.path("version"));
                }
                return 0;
            }
        }
    }

    /** Shows the status of every router. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows whether every router takes work, and its version.")
    static final class Status implements Callable<Integer> {

        @Mixin private Connection mConnection;

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            CliSettings settings = mConnection.settings();
            boolean all = true;
            try (RouterClient client = new RouterClient(settings.token())) {
                for (Address router : settings.routers()) {
                    try {
                        JsonNode body = client.get(router, "/readyz").as(JsonNode.class);
                        boolean ready = body.path("ready").asBoolean();
                        all &= ready;
                        System.out.printf(
                                "%s  %s  version %s%n",
                                router,
                                ready ? "ready" : "not ready: " + body.path("obstacle").asText(),
                                body.path("version"));
                    } catch (CallFailedException exception) {
                        all = false;
                        System.out.println(router + "  not reached");
                    }
                }
            }
            return all ? 0 : ExitCode.REFUSED.number();
        }
    }

    /** Shows the time line of all processes. */
    @Command(
            name = "timeline",
            mixinStandardHelpOptions = true,
            description = "Merges the events of all processes into one time line.")
    static final class ShowTimeline implements Callable<Integer> {

        @Mixin private Connection mConnection;

        @Option(
                names = {"--request", "--upstream", "--change"},
                defaultValue = "",
                description = "what the events are about")
        private String mSubject;

        @Option(names = "--also", split = ",", description = "IP:port of further processes")
        private List<String> mAlso = new ArrayList<>();

        /** {@inheritDoc} */
        @Override
        public Integer call() {
            CliSettings settings = mConnection.settings();
            List<Address> processes = new ArrayList<>(settings.routers());
            mAlso.forEach(address -> processes.add(Address.parse(address)));
            try (RouterClient client = new RouterClient(settings.token())) {
                new Timeline(client).add(processes, mSubject).lines().forEach(System.out::println);
            }
            return 0;
        }
    }
}
