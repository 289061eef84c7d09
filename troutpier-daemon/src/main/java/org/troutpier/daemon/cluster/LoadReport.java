package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * The load that one or several routers report to the others. Immutable and thread safe. Each router
 * sends up to 20 reports a second, so it is encoded as an array, without the names of its
 * components.
 *
 * @param configuration the version of the configuration in force at the sender; -1 for none
 * @param routers how many routers the report covers
 * @param roleHolder whether one of them holds the lease to assign engine roles
 * @param changing the engines that they have ordered to change their role
 * @param waitingTokens prompt tokens of requests that wait for memory at a decode engine
 * @param refusing the engines that refused runs although they had granted a reservation
 * @param uses their usage of each upstream
 * @param demands recent demand for each model service
 * @param organisations recent usage by organisations that have a limit
 * @param rates the upstreams that announce rates, and what was recently sent to them
 * @param waiting the requests that wait for capacity
 * @param paces how long the upstreams recently took
 * @param arrivals the calls to plain services that arrived recently
 * @param overloaded how many of the routers are themselves overloaded
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadReport(
        long configuration,
        int routers,
        boolean roleHolder,
        long waitingTokens,
        Set<UpstreamIncarnation> changing,
        Set<UpstreamIncarnation> refusing,
        Map<UpstreamIncarnation, UpstreamUsage> uses,
        Map<String, Demand> demands,
        UsageReport organisations,
        Map<UpstreamIncarnation, RateReport> rates,
        WaitingReport waiting,
        Map<UpstreamIncarnation, PaceReport> paces,
        RecentArrivals arrivals,
        int overloaded) {

    /** A report that covers no router. */
    public static final LoadReport NONE =
            new LoadReport(
                    -1,
                    0,
                    false,
                    0,
                    Set.of(),
                    Set.of(),
                    Map.of(),
                    Map.of(),
                    UsageReport.NONE,
                    Map.of(),
                    WaitingReport.NONE,
                    Map.of());

    /**
     * Copies the collections; a component that the sender does not know is null, and replaced by an
     * empty one.
     */
    public LoadReport {
        changing = Set.copyOf(changing);
        refusing = Set.copyOf(refusing);
        uses = Map.copyOf(uses);
        demands = Map.copyOf(demands);
        organisations = organisations == null ? UsageReport.NONE : organisations;
        rates = rates == null ? Map.of() : Map.copyOf(rates);
        waiting = waiting == null ? WaitingReport.NONE : waiting;
        paces = paces == null ? Map.of() : Map.copyOf(paces);
        arrivals = arrivals == null ? RecentArrivals.NONE : arrivals;
    }

    /** Creates a report without recent arrivals and overloaded routers. */
    public LoadReport(
            long configuration,
            int routers,
            boolean roleHolder,
            long waitingTokens,
            Set<UpstreamIncarnation> changing,
            Set<UpstreamIncarnation> refusing,
            Map<UpstreamIncarnation, UpstreamUsage> uses,
            Map<String, Demand> demands,
            UsageReport organisations,
            Map<UpstreamIncarnation, RateReport> rates,
            WaitingReport waiting,
            Map<UpstreamIncarnation, PaceReport> paces) {
        this(
                configuration,
                routers,
                roleHolder,
                waitingTokens,
                changing,
                refusing,
                uses,
                demands,
                organisations,
                rates,
                waiting,
                paces,
                RecentArrivals.NONE,
                0);
    }

    /** Creates a report that covers no router and holds only usage by organisations. */
    static LoadReport ofUsage(UsageReport usage) {
        return NONE.withUsage(usage);
    }

    LoadReport withUsage(UsageReport usage) {
        return with(usage, rates, waitingTokens, waiting, paces);
    }

    /**
     * Returns this report with its announced rates, waiting requests and paces aged by a time. The
     * tokens of entries that expire no longer wait, since what exceeds the entries counts as
     * requests of a router that reports none.
     *
     * @param millis the time, milliseconds
     */
    LoadReport aged(long millis) {
        if (rates.isEmpty() && waiting.entries().isEmpty() && paces.isEmpty()) {
            return this;
        }
        Map<UpstreamIncarnation, RateReport> agedRates = new HashMap<>();
        rates.forEach((upstream, report) -> agedRates.put(upstream, report.aged(millis)));
        WaitingReport agedWaiting = waiting.aged(millis);
        long expired = Math.round(waiting.cost() - agedWaiting.cost());
        long tokens = Math.max(0, waitingTokens - expired);
        Map<UpstreamIncarnation, PaceReport> agedPaces = new HashMap<>();
        paces.forEach((upstream, report) -> agedPaces.put(upstream, report.aged(millis)));
        return with(organisations, agedRates, tokens, agedWaiting, agedPaces);
    }

    private LoadReport with(
            UsageReport usage,
            Map<UpstreamIncarnation, RateReport> announcedRates,
            long tokens,
            WaitingReport waitingRequests,
            Map<UpstreamIncarnation, PaceReport> upstreamPaces) {
        return new LoadReport(
                configuration,
                routers,
                roleHolder,
                tokens,
                changing,
                refusing,
                uses,
                demands,
                usage,
                announcedRates,
                waitingRequests,
                upstreamPaces,
                arrivals,
                overloaded);
    }

    /**
     * Returns whether another report has the same load. Demand is not compared, since it drifts all
     * the time and affects only decisions on a scale of seconds; neither is usage against limits,
     * which rises with the calls in progress and falls by itself. Neither are waiting requests,
     * paces, arrivals and overloads, which are sent with the reports that are due anyway.
     */
    boolean hasSameLoad(LoadReport other) {
        return configuration == other.configuration
                && routers == other.routers
                && roleHolder == other.roleHolder
                && changing.equals(other.changing)
                && refusing.equals(other.refusing)
                && uses.equals(other.uses)
                && hasSameRates(other);
    }

    /**
     * Returns whether another report has the same announced rates, whatever their age and usage.
     */
    private boolean hasSameRates(LoadReport other) {
        return rates.keySet().equals(other.rates.keySet())
                && rates.entrySet().stream()
                        .allMatch(
                                each ->
                                        each.getValue().named().perSecond()
                                                == other.rates
                                                        .get(each.getKey())
                                                        .named()
                                                        .perSecond());
    }

    /** Returns the total of this report and others, with this report's configuration version. */
    public LoadReport plus(Iterable<LoadReport> others) {
        int routerCount = routers;
        int allOverloaded = overloaded;
        boolean anyRoleHolder = roleHolder;
        long allWaitingTokens = waitingTokens;
        Set<UpstreamIncarnation> allChanging = new HashSet<>(changing);
        Set<UpstreamIncarnation> allRefusing = new HashSet<>(refusing);
        Map<UpstreamIncarnation, UpstreamUsage> allUses = new HashMap<>(uses);
        Map<String, Demand> allDemands = new HashMap<>(demands);
        List<UsageReport> otherUsage = new ArrayList<>();
        Map<UpstreamIncarnation, RateReport> allRates = new HashMap<>(rates);
        List<WaitingReport> otherWaiting = new ArrayList<>();
        Map<UpstreamIncarnation, PaceReport> allPaces = new HashMap<>(paces);
        List<RecentArrivals> otherArrivals = new ArrayList<>();
        for (LoadReport other : others) {
            routerCount += other.routers;
            allOverloaded += other.overloaded;
            anyRoleHolder |= other.roleHolder;
            allWaitingTokens += other.waitingTokens;
            allChanging.addAll(other.changing);
            allRefusing.addAll(other.refusing);
            other.uses.forEach((id, usage) -> allUses.merge(id, usage, UpstreamUsage::plus));
            other.demands.forEach((name, demand) -> allDemands.merge(name, demand, Demand::plus));
            otherUsage.add(other.organisations);
            other.rates.forEach((id, rate) -> allRates.merge(id, rate, RateReport::plus));
            otherWaiting.add(other.waiting);
            otherArrivals.add(other.arrivals);
            other.paces.forEach(
                    (id, pace) ->
                            allPaces.merge(id, pace.bounded(other.routers), PaceReport::plus));
        }
        return new LoadReport(
                configuration,
                routerCount,
                anyRoleHolder,
                allWaitingTokens,
                allChanging,
                allRefusing,
                allUses,
                allDemands,
                organisations.plus(otherUsage),
                allRates,
                waiting.plus(otherWaiting),
                allPaces,
                arrivals.plus(otherArrivals),
                allOverloaded);
    }
}
