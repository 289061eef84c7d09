package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.troutpier.daemon.organisation.UsageReport;

/**
 * What organisations used at routers that have fallen silent or started again, for as long as it
 * lies in the window of limits. Confined to the control thread. Invariant: what one source used is
 * kept once, and fades to nothing within the window.
 */
final class RetainedUsage {

    /** How long the window is, milliseconds. */
    private final long mWindowMillis;

    /** What each source used. */
    private final Map<Source, Kept> mKept = new HashMap<>();

    /**
     * Whose use it is.
     *
     * @param scope a router's own, or that of a hall's group
     * @param name the router's instance, or the hall
     */
    record Source(ReportScope scope, String name) {}

    /**
     * What a source used.
     *
     * @param use what it told last
     * @param at when that was, milliseconds
     */
    private record Kept(UsageReport use, long at) {}

    /**
     * Creates a memory of nothing.
     *
     * @param windowMillis how long the window is, milliseconds
     */
    RetainedUsage(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Keeps what a source used.
     *
     * @param source whose use it is
     * @param use what it told last
     * @param at when that was, milliseconds
     */
    void keep(Source source, UsageReport use, long at) {
        if (!use.used().isEmpty()) {
            mKept.merge(
                    source,
                    new Kept(use, at),
                    (before, more) -> new Kept(left(before, at).plus(List.of(more.use())), at));
        }
    }

    /**
     * Forgets a source that tells of itself again.
     *
     * @param source whose use it was
     */
    void forget(Source source) {
        mKept.remove(source);
    }

    /**
     * Returns whether it is known what a source used.
     *
     * @param source whose use it is
     * @return whether it is kept
     */
    boolean keeps(Source source) {
        return mKept.containsKey(source);
    }

    /**
     * Sums up what is left in the window.
     *
     * @param scopes the scopes that count
     * @param speaks whether a source's use is told by another
     * @param now the monotonic clock, milliseconds
     * @return the use
     */
    UsageReport sum(Set<ReportScope> scopes, Predicate<Source> speaks, long now) {
        mKept.values().removeIf(kept -> now - kept.at() >= mWindowMillis);
        List<UsageReport> left = new ArrayList<>();
        mKept.forEach(
                (source, kept) -> {
                    if (scopes.contains(source.scope()) && !speaks.test(source)) {
                        left.add(left(kept, now));
                    }
                });
        return left.isEmpty() ? UsageReport.NONE : UsageReport.NONE.plus(left);
    }

    /**
     * Returns what of a source's use is left in the window, taken to have been even.
     *
     * @param kept the use
     * @param now the monotonic clock, milliseconds
     * @return what is left
     */
    private UsageReport left(Kept kept, long now) {
        return kept.use().after((now - kept.at()) / (double) mWindowMillis);
    }
}
