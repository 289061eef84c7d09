package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.troutpier.daemon.organisation.UsageReport;

/**
 * Retains the usage by organisations at routers that stopped reporting or restarted, until it has
 * left the window of usage limits. Confined to the control thread. Invariant: the usage of one
 * source is held once and fades to nothing within the window.
 */
final class RetainedUsage {

    private final long mWindowMillis;

    private final Map<Source, Entry> mEntries = new HashMap<>();

    /**
     * The origin of usage.
     *
     * @param scope {@link ReportScope#OWN} for a single router, {@link ReportScope#GROUP} for a
     *     hall's group
     * @param name the router's instance or the hall
     */
    record Source(ReportScope scope, String name) {

        /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Source that && scope == that.scope && name.equals(that.name);
        }

        /** {@inheritDoc} */
        @Override
        public int hashCode() {
            return 31 * scope.hashCode() + name.hashCode();
        }
    }

    /**
     * The last known usage of a source.
     *
     * @param usage the usage
     * @param reportedMillis when it was reported, milliseconds on the monotonic clock
     */
    private record Entry(UsageReport usage, long reportedMillis) {}

    RetainedUsage(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Retains a source's last reported usage, in addition to what is left of its earlier usage.
     *
     * @param reportedMillis when it was reported, milliseconds on the monotonic clock
     */
    void retain(Source source, UsageReport usage, long reportedMillis) {
        if (!usage.used().isEmpty()) {
            mEntries.merge(
                    source,
                    new Entry(usage, reportedMillis),
                    (before, added) ->
                            new Entry(
                                    remaining(before, reportedMillis).plus(List.of(added.usage())),
                                    reportedMillis));
        }
    }

    void remove(Source source) {
        mEntries.remove(source);
    }

    boolean contains(Source source) {
        return mEntries.containsKey(source);
    }

    /**
     * Returns the total of what is left in the window.
     *
     * @param scopes the counted scopes
     * @param covered whether a source's usage is part of a current report
     * @param now the monotonic clock, milliseconds
     */
    UsageReport total(Set<ReportScope> scopes, Predicate<Source> covered, long now) {
        mEntries.values().removeIf(entry -> now - entry.reportedMillis() >= mWindowMillis);
        List<UsageReport> remaining = new ArrayList<>();
        mEntries.forEach(
                (source, entry) -> {
                    if (scopes.contains(source.scope()) && !covered.test(source)) {
                        remaining.add(remaining(entry, now));
                    }
                });
        return remaining.isEmpty() ? UsageReport.NONE : UsageReport.NONE.plus(remaining);
    }

    /**
     * Returns the part of a source's usage that is still in the window, assuming that it was spread
     * evenly over it.
     *
     * @param now the monotonic clock, milliseconds
     */
    private UsageReport remaining(Entry entry, long now) {
        return entry.usage().after((now - entry.reportedMillis()) / (double) mWindowMillis);
    }
}
