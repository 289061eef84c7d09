package org.troutpier.daemon.node;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

/** What every daemon's command line does at its start and at its end. Stateless, thread safe. */
public final class DaemonProcess {

    /** The exit code for wrong settings. */
    public static final int INVALID_SETTINGS_EXIT_CODE = 2;

    /** Not to be instantiated. */
    private DaemonProcess() {}

    /**
     * Reads a settings file; what is wrong is told on standard error.
     *
     * @param <T> the settings' type
     * @param file the file
     * @param type the settings' type
     * @return the settings, or empty where they are wrong
     */
    public static <T> Optional<T> readSettings(Path file, Class<T> type) {
        try {
            return Optional.of(CheckedYaml.read(file, type));
        } catch (TroutpierException exception) {
            System.err.println(exception.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Sets what is done when the process is told to end. The log lines that are left are written
     * after it.
     *
     * @param stop stops the daemon without cutting requests; blocks
     */
    public static void onShutdown(Runnable stop) {
        Thread hook =
                new Thread(
                        () -> {
                            stop.run();
                            LogManager.shutdown();
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(hook);
    }
}
