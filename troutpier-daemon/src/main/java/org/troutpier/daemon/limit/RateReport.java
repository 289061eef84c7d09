package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * The report of one or several routers about an upstream that announces a rate. Immutable and
 * thread safe.
 *
 * @param named the rate that the upstream announced to them last
 * @param use the requests that they sent it recently
 * @param asked the requests for it in the most recent {@link UsageSettings#PACE_FRACTION} of the
 *     window, by rank, the most urgent first
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

    /** Combines this report with one of other routers. */
    public RateReport plus(RateReport other) {
        return new RateReport(
                named.mostRecent(other.named), use.plus(other.use), sum(asked, other.asked));
    }

    /**
     * Returns this report with a greater age of its rate and unchanged usage.
     *
     * @param millis the time that has passed, milliseconds
     */
    public RateReport aged(long millis) {
        return new RateReport(named.aged(millis), use, asked);
    }

    /** Returns the element-wise sum of two lists, as long as the longer one. */
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
