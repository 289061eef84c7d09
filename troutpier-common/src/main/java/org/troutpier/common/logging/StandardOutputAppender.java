package org.troutpier.common.logging;

import java.io.PrintStream;
import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Writes lines to the stream that is standard output when the appender is created. Thread safe: a
 * line is written by one call. The library's own appender checks its settings by reflection, which
 * would cost processor time at each start.
 */
final class StandardOutputAppender extends AbstractAppender {

    /** Where lines go. */
    private final PrintStream mStream = System.out;

    /**
     * Creates an appender.
     *
     * @param layout makes the lines
     */
    StandardOutputAppender(String name, Layout<String> layout) {
        super(name, null, layout, false, Property.EMPTY_ARRAY);
    }

    /** {@inheritDoc} */
    @Override
    public void append(LogEvent event) {
        byte[] line = getLayout().toByteArray(event);
        mStream.write(line, 0, line.length);
        mStream.flush();
    }
}
