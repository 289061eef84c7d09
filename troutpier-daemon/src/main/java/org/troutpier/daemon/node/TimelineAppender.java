package org.troutpier.daemon.node;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.troutpier.common.event.EventRing;

/**
 * Records log lines as events, so that the log and the time line show the same. Thread safe. The
 * events of requests are recorded by the code that logs them, whether or not their line is written.
 */
public final class TimelineAppender extends AbstractAppender {

    private static final String NAME = "timeline";

    private static final String LOGGER_PREFIX = "org.troutpier";

    /** Finds the subject of a line: the value of the first of these names. */
    private static final Pattern SUBJECT = Pattern.compile("\\b(?:id|engine|table|service)=(\\S+)");

    private final EventRing mEvents;

    private TimelineAppender(EventRing events) {
        super(NAME, null, null, true, Property.EMPTY_ARRAY);
        mEvents = events;
    }

    /**
     * Records everything that this process logs from now on.
     *
     * @param events receives the events
     */
    public static void attach(EventRing events) {
        TimelineAppender appender = new TimelineAppender(events);
        appender.start();
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        context.getConfiguration()
                .getLoggerConfig(LOGGER_PREFIX)
                .addAppender(appender, Level.INFO, null);
        context.updateLoggers();
    }

    /** {@inheritDoc} */
    @Override
    public void append(LogEvent event) {
        String logger = event.getLoggerName();
        if (!logger.startsWith(LOGGER_PREFIX)) {
            return;
        }
        String text = event.getMessage().getFormattedMessage();
        Matcher subject = SUBJECT.matcher(text);
        mEvents.record(
                logger.substring(logger.lastIndexOf('.') + 1),
                subject.find() ? subject.group(1) : "",
                text);
    }
}
