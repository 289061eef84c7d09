package org.troutpier.daemon.cluster;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * What the other routers said of their load and demand. Changes are confined to the control thread;
 * {@link #use}, {@link #demand}, {@link #changing}, {@link #refusing}, {@link #waitingTokens()},
 * {@link #routers()} and {@link #roleHolder()} are thread safe and answer as of the last {@link
 * #sum}. Invariants: a report counts until {@link #BELIEVED_MILLIS} after it was heard; only
 * reports of the scopes that are counted count, so that no router's load is counted twice.
 */
public final class PeerLoads {

    /** How long a report counts, milliseconds: three of the longest pauses between two. */
    public static final long BELIEVED_MILLIS = 1500;

    /** The latest report of each router. */
    private final Map<Incarnation, Heard> mHeard = new HashMap<>();

    /** The scopes that count. */
    private Set<ReportScope> mCounted = EnumSet.of(ReportScope.OWN);

    /** Whether something was heard since the last sum. */
    private boolean mNews;

    /** The sum over all reports that count. */
    private volatile LoadReport mSum = LoadReport.NONE;

    /**
     * A report and when it came.
     *
     * @param scope whose load it tells of
     * @param report the report
     * @param at when it came, milliseconds
     */
    private record Heard(ReportScope scope, LoadReport report, long at) {}

    /**
     * Takes a report. It shows once {@link #sum} was called.
     *
     * @param from who sent it
     * @param scope whose load it tells of
     * @param report the report
     * @param now the monotonic clock, milliseconds
     * @return whether it says something new of the load
     */
    public boolean heard(Incarnation from, ReportScope scope, LoadReport report, long now) {
        mNews = true;
        Heard before = mHeard.put(from, new Heard(scope, report, now));
        if (before == null) {
            mHeard.keySet()
                    .removeIf(
                            other ->
                                    !other.equals(from)
                                            && other.instance().equals(from.instance()));
        }
        return before == null || before.scope() != scope || !before.report().sameLoad(report);
    }

    /**
     * Sets which scopes count.
     *
     * @param counted the scopes
     */
    void count(Set<ReportScope> counted) {
        mCounted = Set.copyOf(counted);
    }

    /**
     * Sums up what still counts.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void sum(long now) {
        mNews = false;
        dropOld(now);
        mSum =
                LoadReport.NONE.plus(
                        mHeard.values().stream()
                                .filter(heard -> mCounted.contains(heard.scope()))
                                .map(Heard::report)
                                .toList());
    }

    /**
     * Drops what no longer counts, and sums up if there was any or something was heard.
     *
     * @param now the monotonic clock, milliseconds
     */
    void refresh(long now) {
        if (dropOld(now) || mNews) {
            sum(now);
        }
    }

    /**
     * Drops what no longer counts.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether there was any
     */
    private boolean dropOld(long now) {
        return mHeard.values().removeIf(heard -> now - heard.at() > BELIEVED_MILLIS);
    }

    /**
     * Returns the routers that were heard lately.
     *
     * @param scope with what scope
     * @return who they are
     */
    Set<Incarnation> reporters(ReportScope scope) {
        Set<Incarnation> routers = new HashSet<>();
        mHeard.forEach(
                (router, heard) -> {
                    if (heard.scope() == scope) {
                        routers.add(router);
                    }
                });
        return routers;
    }

    /**
     * Returns the reports with some scopes.
     *
     * @param scopes the scopes
     * @param without a router to leave out, or null
     * @return the reports
     */
    List<LoadReport> reports(Set<ReportScope> scopes, Incarnation without) {
        return mHeard.entrySet().stream()
                .filter(each -> scopes.contains(each.getValue().scope()))
                .filter(each -> !each.getKey().equals(without))
                .map(each -> each.getValue().report())
                .toList();
    }

    /**
     * Returns what the others have under way at an upstream.
     *
     * @param upstream the upstream
     * @return the sum
     */
    public UpstreamUse use(UpstreamIncarnation upstream) {
        return mSum.uses().getOrDefault(upstream, UpstreamUse.NONE);
    }

    /**
     * Returns whether an engine changes its role by another router's order.
     *
     * @param engine the engine
     * @return whether one said so lately
     */
    public boolean changing(UpstreamIncarnation engine) {
        return mSum.changing().contains(engine);
    }

    /**
     * Returns whether an engine refused runs of another router lately.
     *
     * @param engine the engine
     * @return whether one said so
     */
    public boolean refusing(UpstreamIncarnation engine) {
        return mSum.refusing().contains(engine);
    }

    /**
     * Returns what callers asked of the others lately.
     *
     * @param service the service
     * @return the sum
     */
    public Demand demand(String service) {
        return mSum.demands().getOrDefault(service, Demand.NONE);
    }

    /**
     * Returns how much the requests need that wait for memory at the others.
     *
     * @return the tokens of their prompts
     */
    public long waitingTokens() {
        return mSum.waitingTokens();
    }

    /**
     * Returns how many others were heard of lately.
     *
     * @return the count
     */
    public int routers() {
        return mSum.routers();
    }

    /**
     * Returns whether one of the others decides engines' roles.
     *
     * @return whether one said so lately
     */
    public boolean roleHolder() {
        return mSum.roleHolder();
    }
}
