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
import org.troutpier.daemon.organisation.UsageReport;

/**
 * What one or several routers tell the others of themselves. Immutable and thread safe. Each router
 * tells it up to twenty times a second, so its fields go without their names.
 *
 * @param configuration the version of the configuration in force at the sender; -1 for none
 * @param routers how many routers it tells of
 * @param roleHolder whether one of them decides engines' roles
 * @param changing the engines that change their role by their orders
 * @param waitingTokens the prompts' tokens of requests that wait for memory at a decode engine
 * @param refusing the engines that refused runs they had set places aside for
 * @param uses what they have under way at each upstream
 * @param demands what callers asked of each model service lately
 * @param organisations what organisations with a limit used lately
 * @param rates the upstreams that name rates, and what they were sent lately
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
        Map<UpstreamIncarnation, RateReport> rates) {

    /** The report of no router. */
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
                    Map.of());

    /** Copies the maps. */
    public LoadReport {
        changing = Set.copyOf(changing);
        refusing = Set.copyOf(refusing);
        uses = Map.copyOf(uses);
        demands = Map.copyOf(demands);
        organisations = organisations == null ? UsageReport.NONE : organisations;
        rates = rates == null ? Map.of() : Map.copyOf(rates);
    }

    /**
     * Returns the report of nothing but organisations' use.
     *
     * @param use the use
     * @return a report that tells of no router
     */
    static LoadReport of(UsageReport use) {
        return NONE.with(use);
    }

    /**
     * Returns this report with other use of organisations.
     *
     * @param use the use
     * @return a new report
     */
    LoadReport with(UsageReport use) {
        return with(use, rates);
    }

    /**
     * Returns this report as it is some time later.
     *
     * @param millis how much later, milliseconds
     * @return a report whose named rates are older
     */
    LoadReport later(long millis) {
        if (rates.isEmpty()) {
            return this;
        }
        Map<UpstreamIncarnation, RateReport> older = new HashMap<>();
        rates.forEach((upstream, report) -> older.put(upstream, report.aged(millis)));
        return with(organisations, older);
    }

    /**
     * Returns this report with other use against limits.
     *
     * @param use the use of organisations
     * @param named the upstreams that name rates, and what they were sent
     * @return a new report
     */
    private LoadReport with(UsageReport use, Map<UpstreamIncarnation, RateReport> named) {
        return new LoadReport(
                configuration,
                routers,
                roleHolder,
                waitingTokens,
                changing,
                refusing,
                uses,
                demands,
                use,
                named);
    }

    /**
     * Returns whether another report says the same but for the demand, which drifts all the time
     * and matters to the decisions of seconds only, and for use against limits, which rises with
     * what is under way and falls by itself.
     *
     * @param other the other report
     * @return whether it does
     */
    boolean sameLoad(LoadReport other) {
        return configuration == other.configuration
                && routers == other.routers
                && roleHolder == other.roleHolder
                && changing.equals(other.changing)
                && refusing.equals(other.refusing)
                && uses.equals(other.uses)
                && namesSameRates(other);
    }

    /**
     * Returns whether another report names the same rates, whatever their age and use.
     *
     * @param other the other report
     * @return whether it does
     */
    private boolean namesSameRates(LoadReport other) {
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

    /**
     * Returns the report of these and other routers together, with this sender's configuration.
     *
     * @param others the others' reports
     * @return a new report
     */
    public LoadReport plus(Iterable<LoadReport> others) {
        int count = routers;
        boolean holder = roleHolder;
        long waiting = waitingTokens;
        Set<UpstreamIncarnation> changed = new HashSet<>(changing);
        Set<UpstreamIncarnation> refused = new HashSet<>(refusing);
        Map<UpstreamIncarnation, UpstreamUsage> allUses = new HashMap<>(uses);
        Map<String, Demand> allDemands = new HashMap<>(demands);
        List<UsageReport> allUse = new ArrayList<>();
        Map<UpstreamIncarnation, RateReport> allRates = new HashMap<>(rates);
        for (LoadReport other : others) {
            count += other.routers;
            holder |= other.roleHolder;
            waiting += other.waitingTokens;
            changed.addAll(other.changing);
            refused.addAll(other.refusing);
            other.uses.forEach((id, use) -> allUses.merge(id, use, UpstreamUsage::plus));
            other.demands.forEach((name, demand) -> allDemands.merge(name, demand, Demand::plus));
            allUse.add(other.organisations);
            other.rates.forEach((id, rate) -> allRates.merge(id, rate, RateReport::plus));
        }
        return new LoadReport(
                configuration,
                count,
                holder,
                waiting,
                changed,
                refused,
                allUses,
                allDemands,
                organisations.plus(allUse),
                allRates);
    }
}
