package org.troutpier.common.logging;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * How a daemon logs: JSON lines on standard output, through a queue that drops and counts lines
 * when it is full ({@link DropWhenFull}). Built in code, because a configuration file has the
 * library look for its parts by name, which took almost half of a start. Thread safe once it is in
 * force.
 */
public final class DaemonLogging extends AbstractConfiguration {

    /** How many lines wait to be written at most: a few seconds of a busy router. */
    private static final int QUEUE_LINES = 1024;

    /** How long a stop waits for lines that are left, milliseconds. */
    private static final int STOP_MILLIS = 500;

    /** The appender that writes. */
    private static final String OUTPUT = "console";

    /** The appender that queues. */
    private static final String QUEUE = "queue";

    /** The property for which the library would ask the resolver of host names. */
    private static final String HOST_NAME = "hostName";

    /** Creates a configuration. The daemon's own hook ends logging, after its last line. */
    private DaemonLogging() {
        super(null, ConfigurationSource.NULL_SOURCE);
        setName("daemon");
        isShutdownHookEnabled = false;
        getProperties().put(HOST_NAME, "");
    }

    /**
     * Puts this way to log in force; to be called before the first logger is asked for, since the
     * library would look for a configuration file else.
     */
    public static void install() {
        Configurator.initialize(DaemonLogging.class.getClassLoader(), configuration());
    }

    /**
     * Returns a configuration that is not in force yet.
     *
     * @return the configuration
     */
    static DaemonLogging configuration() {
        return new DaemonLogging();
    }

    /**
     * {@inheritDoc} The library's way would load all of its plug-ins, none of which is named here.
     */
    @Override
    public void initialize() {
        doConfigure();
        setState(State.INITIALIZED);
    }

    /** {@inheritDoc} */
    @Override
    protected void doConfigure() {
        addAppender(new StandardOutputAppender(OUTPUT, new JsonLinesLayout()));
        AppenderRef[] written = {AppenderRef.createAppenderRef(OUTPUT, Level.ALL, null)};
        AsyncAppender queue =
                AsyncAppender.newBuilder()
                        .setName(QUEUE)
                        .setConfiguration(this)
                        .setBufferSize(QUEUE_LINES)
                        .setShutdownTimeout(STOP_MILLIS)
                        .setAppenderRefs(written)
                        .build();
        addAppender(queue);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(queue, null, null);
        quiet("org.asynchttpclient");
        quiet("io.netty");
    }

    /**
     * Lets a library log errors only.
     *
     * @param logger what its loggers' names begin with
     */
    private void quiet(String logger) {
        addLogger(logger, new LoggerConfig(logger, Level.ERROR, true));
    }
}
