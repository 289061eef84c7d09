package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * What one or several routers report of an upstream that names a rate. Immutable and thread safe.
 *
 * @param named the rate that the upstream named to them last
 * @param use what they sent it lately, requests
 * @param asked what they were asked to send it in the newest {@link UsageSettings#PACE_FRACTION} of
 *     the window, by rank, the most urgent first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RateReport(LastAnnouncedRate named, RecentUsage use, List<Long> asked) {

    /** The report of no router. */
    public static final RateReport NONE =
            new RateReport(LastAnnouncedRate.NEVER, RecentUsage.NONE, List.of());

    /** Copies the list. */
    public RateReport {
        asked = asked == null ? List.of() : List.copyOf(asked);
    }

    /**
     * Returns the report of these and other routers together.
     *
     * @param other the others' report
     * @return a new report
     */
    public RateReport plus(RateReport other) {
        return new RateReport(
                named.mostRecent(other.named), use.plus(other.use), sum(asked, other.asked));
    }

    /**
     * Returns the report as it is some time later, with the use that it told of.
     *
     * @param millis how much later, milliseconds
     * @return a new report
     */
    public RateReport aged(long millis) {
        return new RateReport(named.aged(millis), use, asked);
    }

    /**
     * Adds up two lists, entry by entry.
     *
     * @param one one list
     * @param other the other
     * @return a list as long as the longer one
     */
    private static List<Long> sum(List<Long> one, List<Long> other) {
        List<Long> longer = one.size() < other.size() ? other : one;
        List<Long> shorter = longer == one ? other : one;
        List<Long> sum = new ArrayList<>(longer);
        for (int rank = 0; rank < shorter.size(); rank++) {
            sum.set(rank, sum.get(rank) + shorter.get(rank));
        }
        return sum;
    }
}
