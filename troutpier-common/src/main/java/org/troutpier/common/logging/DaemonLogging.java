package org.troutpier.common.logging;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Log4j configuration of a daemon: JSON lines on standard output, through a queue that drops and
 * counts lines when it is full ({@link DropWhenFull}). Built in code, because with a configuration
 * file the library looks up its plug-ins by name, which took almost half of the start-up time.
 * Thread safe once installed.
 */
public final class DaemonLogging extends AbstractConfiguration {

    /** Capacity of the queue, lines: a few seconds of output of a busy router. */
    private static final int QUEUE_CAPACITY = 1024;

    /** How long a stop waits for queued lines to be written, milliseconds. */
    private static final int STOP_TIMEOUT_MILLIS = 500;

    private static final String OUTPUT_APPENDER = "console";

    private static final String QUEUE_APPENDER = "queue";

    /** Property that is set empty, since the library would query the host name resolver for it. */
    private static final String HOST_NAME = "hostName";

    /**
     * The installed configuration. The library refers to it weakly until the first logger exists: a
     * garbage collection before that would bring back its default configuration.
     */
    private static final AtomicReference<LoggerContext> INSTALLED = new AtomicReference<>();

    /**
     * Creates a configuration without the library's shutdown hook; the daemon's own hook stops
     * logging after its last line.
     */
    private DaemonLogging() {
        super(null, ConfigurationSource.NULL_SOURCE);
        setName("daemon");
        isShutdownHookEnabled = false;
        getProperties().put(HOST_NAME, "");
    }

    /**
     * Installs this configuration; must be called before the first logger is created, since the
     * library would otherwise look for a configuration file.
     */
    public static void install() {
        INSTALLED.set(
                Configurator.initialize(DaemonLogging.class.getClassLoader(), configuration()));
    }

    /** Returns a configuration that is not installed. */
    static DaemonLogging configuration() {
        return new DaemonLogging();
    }

    /**
     * {@inheritDoc} The default implementation would load all plug-ins of the library, none of
     * which is used here.
     */
    @Override
    public void initialize() {
        doConfigure();
        setState(State.INITIALIZED);
    }

    /** {@inheritDoc} */
    @Override
    protected void doConfigure() {
        addAppender(new StandardOutputAppender(OUTPUT_APPENDER, new JsonLinesLayout()));
        AppenderRef[] written = {AppenderRef.createAppenderRef(OUTPUT_APPENDER, Level.ALL, null)};
        AsyncAppender queue =
                AsyncAppender.newBuilder()
                        .setName(QUEUE_APPENDER)
                        .setConfiguration(this)
                        .setBufferSize(QUEUE_CAPACITY)
                        .setShutdownTimeout(STOP_TIMEOUT_MILLIS)
                        .setAppenderRefs(written)
                        .build();
        addAppender(queue);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(queue, null, null);
        limitToErrors("org.asynchttpclient");
        limitToErrors("io.netty");
    }

    private void limitToErrors(String logger) {
        addLogger(logger, new LoggerConfig(logger, Level.ERROR, true));
    }
}
