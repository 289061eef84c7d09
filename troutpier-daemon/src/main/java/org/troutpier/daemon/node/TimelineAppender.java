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
 * Puts what is logged of a router's beliefs on the time line, so that both show the same events.
 * Thread safe. Requests are put there by whoever logs them, whether their line was written or not.
 */
public final class TimelineAppender extends AbstractAppender {

    /** The appender's name. */
    private static final String NAME = "timeline";

    /** What the product's loggers begin with. */
    private static final String PRODUCT = "org.troutpier";

    /** Finds what a line is about: the first of these names with its value. */
    private static final Pattern SUBJECT = Pattern.compile("\\b(?:id|engine|table|service)=(\\S+)");

    /** Keeps the events. */
    private final EventRing mEvents;

    /**
     * Creates an appender.
     *
     * @param events keeps the events
     */
    private TimelineAppender(EventRing events) {
        super(NAME, null, null, true, Property.EMPTY_ARRAY);
        mEvents = events;
    }

    /**
     * Puts all that this process logs from now on on a time line.
     *
     * @param events the time line
     */
    public static void attach(EventRing events) {
        TimelineAppender appender = new TimelineAppender(events);
        appender.start();
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        context.getConfiguration().getLoggerConfig(PRODUCT).addAppender(appender, Level.INFO, null);
        context.updateLoggers();
    }

    /** {@inheritDoc} */
    @Override
    public void append(LogEvent event) {
        String logger = event.getLoggerName();
        if (!logger.startsWith(PRODUCT)) {
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
