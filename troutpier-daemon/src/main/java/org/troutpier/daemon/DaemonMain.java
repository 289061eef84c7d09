package org.troutpier.daemon;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.troutpier.common.logging.DaemonLogging;
import org.troutpier.daemon.node.DaemonProcess;
import org.troutpier.daemon.settings.DaemonSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command line of the daemon. Confined to the main thread. */
@Command(
        name = "troutpierd",
        mixinStandardHelpOptions = true,
        version = "troutpierd 0.1.0",
        description = "Runs one router.")
public final class DaemonMain implements Callable<Integer> {

    /** The exit code for invalid settings. */
    public static final int INVALID_SETTINGS_EXIT_CODE = 2;

    @Parameters(paramLabel = "SETTINGS", description = "YAML file with the daemon's settings")
    private Path mSettings;

    @Option(names = "--check", description = "check the settings and exit")
    private boolean mCheck;

    private DaemonMain() {}

    /**
     * Runs the daemon.
     *
     * @param arguments the command line's words
     */
    public static void main(String[] arguments) {
        DaemonLogging.install();
        System.exit(new CommandLine(new DaemonMain()).execute(arguments));
    }

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        Optional<DaemonSettings> settings =
                DaemonProcess.readSettings(mSettings, DaemonSettings.class);
        if (settings.isEmpty()) {
            return DaemonProcess.INVALID_SETTINGS_EXIT_CODE;
        }
        if (mCheck) {
            System.out.println("the settings are valid");
            return 0;
        }
        RouterDaemon daemon = new RouterDaemon(settings.get());
        DaemonProcess.onShutdown(daemon::stop);
        new CountDownLatch(1).await();
        return 0;
    }
}
