package org.troutpier.daemon.node;

import java.nio.file.Path;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.CheckedYaml;

/** Start and shutdown of a daemon's process. Stateless and thread safe. */
public final class DaemonProcess {

    /** The exit code for invalid settings. */
    public static final int INVALID_SETTINGS_EXIT_CODE = 2;

    private DaemonProcess() {}

    /**
     * Reads a settings file; prints errors to standard error.
     *
     * @param <T> the settings' type
     * @param file the file
     * @param type the settings' type
     * @return the settings, or empty if they are invalid
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
     * Registers a shutdown hook. Logging is shut down after it, so that the remaining lines are
     * written.
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
