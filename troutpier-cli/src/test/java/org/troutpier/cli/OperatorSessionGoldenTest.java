package org.troutpier.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Secret;
import org.troutpier.daemon.RouterDaemon;
import org.troutpier.daemon.settings.DaemonSettings;
import org.troutpier.standins.platform.InstanceListStandin;
import org.troutpier.standins.platform.ObjectStandin;
import org.troutpier.standins.platform.TableStandin;

/** Complete operator sessions with a real router, compared with approved output. */
public class OperatorSessionGoldenTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    private final EventLoopGroup mLoop = new NioEventLoopGroup(1);
    private TableStandin mTable;
    private ObjectStandin mObjects;
    private InstanceListStandin mInstances;
    private RouterDaemon mRouter;

    @BeforeClass
    public void start() throws IOException {
        Address any = new Address("127.0.0.1", 0);
        mTable = new TableStandin(any, mLoop);
        mObjects = new ObjectStandin(any, mLoop);
        mInstances = new InstanceListStandin(any, 100, mLoop);
        int peerPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            peerPort = socket.getLocalPort();
        }
        mRouter =
                new RouterDaemon(
                        new DaemonSettings(
                                new InstanceId("router-1"),
                                new HallId("lautoka"),
                                any,
                                any,
                                new Address("127.0.0.1", peerPort),
                                new Secret("a-secret-for-tests-only"),
                                Tokens.hash("administrator"),
                                new DaemonSettings.PlatformSettings(
                                        mTable.server().address().url(""),
                                        mObjects.server().address().url(""),
                                        mInstances.server().address().url(""),
                                        null),
                                null,
                                null,
                                null,
                                null));
        mInstances.register("router-1", mRouter.operatorAddress().url("/healthz"));
        Awaitility.await()
                .pollInterval(Duration.ofMillis(50))
                .atMost(Duration.ofSeconds(20))
                .until(() -> run("administrator", "status").contains("exit 0"));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mRouter.close();
        mInstances.close();
        mObjects.close();
        mTable.close();
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private String run(String token, String... words) {
        List<String> all = new ArrayList<>(List.of(words));
        if (!token.isEmpty()) {
            all.addAll(List.of("--router", mRouter.operatorAddress().toString()));
            all.addAll(List.of("--token", token));
        }
        CliRun run = CliRun.of(all.toArray(String[]::new));
        return "$ troutpier "
                + String.join(" ", words)
                + "\n"
                + run.shown()
                + "(exit "
                + run.exit()
                + ")\n\n";
    }

    /** Waits until the router has detected that the declared engines do not listen. */
    private String awaitSilentEngines() {
        Awaitility.await()
                .pollInterval(Duration.ofMillis(50))
                .atMost(Duration.ofSeconds(20))
                .until(
                        () ->
                                run(
                                                "association-operator",
                                                "run",
                                                "show upstreams where state = silent")
                                        .contains("decode-1"));
        return "";
    }

    private void verify(String session) {
        String scrubbed =
                session.replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "<id>")
                        .replace(mRouter.operatorAddress().toString(), "<router>")
                        .replace(EXAMPLES.toString(), "examples")
                        .replaceAll("\\S*/troutpier-files\\d+", "FILES");
        Approvals.verify(scrubbed, new Options().withReporter(new QuietReporter()));
    }

    @Test
    public void anOperatorsDay() {
        String session =
                run("administrator", "apply", "-f", EXAMPLES.resolve("partners").toString())
                        + run(
                                "association-operator",
                                "diff",
                                "-f",
                                EXAMPLES.resolve("association").toString())
                        + run(
                                "association-operator",
                                "apply",
                                "-f",
                                EXAMPLES.resolve("association").toString())
                        + run(
                                "association-operator",
                                "apply",
                                "-f",
                                EXAMPLES.resolve("association").toString())
                        + awaitSilentEngines()
                        + run("association-operator", "run", "show classes order by name desc")
                        + run("association-operator", "run", "show upstreams where role = decode")
                        + run("association-operator", "run", "drain decode-1")
                        + run(
                                "association-operator",
                                "run",
                                "show upstreams where state = draining")
                        + run(
                                "association-operator",
                                "diff",
                                "-f",
                                EXAMPLES.resolve("association").toString())
                        + run(
                                "association-operator",
                                "run",
                                "set class machine-status deadlineMillis = 1500")
                        + run("association-operator", "run", "show routers")
                        + run("association-operator", "status");
        verify(session);
    }

    @Test(dependsOnMethods = "anOperatorsDay")
    public void whatIsRefused() throws IOException {
        Path files = Files.createTempDirectory("troutpier-files");
        Files.writeString(
                files.resolve("a.yaml"),
                "classes:\n  - name: x\n    partner: association\n    kind: nonsense\n");
        Files.writeString(
                files.resolve("b.yaml"), "upstreams:\n  - {id: y, owner: association, rol: z}\n");
        String session =
                run("", "validate", "-f", files.toString())
                        + run("stolen", "run", "show routers")
                        + run("trust-operator", "run", "drain decode-1")
                        + run(
                                "trust-operator",
                                "apply",
                                "-f",
                                EXAMPLES.resolve("association").toString())
                        + run("association-operator", "run", "show me everything")
                        + run("association-operator", "run", "show requests where colour = red")
                        + run("association-operator", "run", "cancel request none")
                        + run("association-operator", "run", "assign decode-1 role cook");
        verify(session);
    }
}
