package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamId;

/**
 * What the other routers said of their load and demand. Changes are confined to the control thread;
 * {@link #use}, {@link #demand} and {@link #routers()} are thread safe. Invariant: what a router
 * said counts until {@link #BELIEVED_MILLIS} after it was heard.
 */
public final class PeerLoads {

    /** How long a report counts, milliseconds: three of the longest pauses between two. */
    static final long BELIEVED_MILLIS = 1500;

    /** The latest report of each router. */
    private final Map<Incarnation, Heard> mHeard = new HashMap<>();

    /** The sums over all reports. */
    private volatile Sums mSums = new Sums(Map.of(), Map.of(), Set.of(), 0, false);

    /**
     * A report and when it came.
     *
     * @param report the report
     * @param at when it came, milliseconds
     */
    private record Heard(LoadReport report, long at) {}

    /**
     * Sums over all reports. Immutable and thread safe.
     *
     * @param uses the use of each upstream
     * @param demands the demand of each service
     * @param changing the engines that change their role
     * @param routers how many routers there are
     * @param roleHolder whether one of them decides engines' roles
     */
    private record Sums(
            Map<UpstreamId, UpstreamUse> uses,
            Map<String, Demand> demands,
            Set<UpstreamId> changing,
            int routers,
            boolean roleHolder) {}

    /**
     * Takes a report.
     *
     * @param from whose it is
     * @param report the report
     * @param now the monotonic clock, milliseconds
     */
    public void heard(Incarnation from, LoadReport report, long now) {
        mHeard.keySet()
                .removeIf(other -> other.instance().equals(from.instance()) && !other.equals(from));
        mHeard.put(from, new Heard(report, now));
        sum(now);
    }

    /**
     * Sums up what still counts.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void sum(long now) {
        mHeard.values().removeIf(heard -> now - heard.at() > BELIEVED_MILLIS);
        Map<UpstreamId, UpstreamUse> uses = new HashMap<>();
        Map<String, Demand> demands = new HashMap<>();
        Set<UpstreamId> changing = new HashSet<>();
        boolean roleHolder = false;
        for (Heard heard : mHeard.values()) {
            heard.report().uses().forEach((id, use) -> uses.merge(id, use, UpstreamUse::plus));
            heard.report()
                    .demands()
                    .forEach((service, demand) -> demands.merge(service, demand, Demand::plus));
            changing.addAll(heard.report().changing());
            roleHolder |= heard.report().roleHolder();
        }
        mSums =
                new Sums(
                        Map.copyOf(uses),
                        Map.copyOf(demands),
                        Set.copyOf(changing),
                        mHeard.size(),
                        roleHolder);
    }

    /**
     * Returns what the others have under way at an upstream.
     *
     * @param upstream the upstream
     * @return the sum
     */
    public UpstreamUse use(UpstreamId upstream) {
        return mSums.uses().getOrDefault(upstream, UpstreamUse.NONE);
    }

    /**
     * Returns whether an engine changes its role by another router's order.
     *
     * @param engine the engine
     * @return whether one said so lately
     */
    public boolean changing(UpstreamId engine) {
        return mSums.changing().contains(engine);
    }

    /**
     * Returns what callers asked of the others lately.
     *
     * @param service the service
     * @return the sum
     */
    public Demand demand(String service) {
        return mSums.demands().getOrDefault(service, Demand.NONE);
    }

    /**
     * Returns how many others were heard lately.
     *
     * @return the count
     */
    public int routers() {
        return mSums.routers();
    }

    /**
     * Returns whether one of the others decides engines' roles.
     *
     * @return whether one said so lately
     */
    public boolean roleHolder() {
        return mSums.roleHolder();
    }
}
