package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one or several routers report of an upstream that names a rate. Immutable and thread safe.
 *
 * @param named the rate that the upstream named to them last
 * @param use what they sent it lately, requests
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RateReport(NamedRate named, RecentUse use) {

    /** The report of no router. */
    public static final RateReport NONE = new RateReport(NamedRate.NEVER, RecentUse.NONE);

    /**
     * Returns the report of these and other routers together.
     *
     * @param other the others' report
     * @return a new report
     */
    public RateReport plus(RateReport other) {
        return new RateReport(named.latest(other.named), use.plus(other.use));
    }

    /**
     * Returns the report as it is some time later, with the use that it told of.
     *
     * @param millis how much later, milliseconds
     * @return a new report
     */
    public RateReport later(long millis) {
        return new RateReport(named.later(millis), use);
    }
}
