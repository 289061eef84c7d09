package org.troutpier.daemon.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.event.Event;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerController;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;
import org.troutpier.daemon.request.ExchangeRegistry;
import org.troutpier.daemon.request.RequestExchange;

/**
 * Answers queries about requests, upstreams, capacity, routers, classes, partners and changes.
 * Confined to the control thread. Invariant: an operator never gets a row about another partner.
 */
final class Inventory {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Node mNode;

    private final ExchangeRegistry mRegistry;

    private final UpstreamRegistry mUpstreamRegistry;

    private final Membership mMembership;

    private final ConfigurationRegistry mConfigurations;

    private final PeerController mPeers;

    /**
     * Creates an inventory.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry the requests that this router carries
     * @param upstreamRegistry all upstreams
     * @param membership knows the routers
     * @param configurations the declarations in force
     * @param peers knows the configuration versions of the other routers
     */
    Inventory(
            Node node,
            ExchangeRegistry registry,
            UpstreamRegistry upstreamRegistry,
            Membership membership,
            ConfigurationRegistry configurations,
            PeerController peers) {
        mNode = node;
        mRegistry = registry;
        mUpstreamRegistry = upstreamRegistry;
        mMembership = membership;
        mConfigurations = configurations;
        mPeers = peers;
    }

    /**
     * Returns the rows about a kind of thing.
     *
     * @param thing the kind
     * @param rights the rights of the operator
     * @return the rows
     */
    ResultTable show(String thing, Rights rights) {
        return switch (thing) {
            case "requests" -> requests(rights);
            case "upstreams" -> upstreams(rights);
            case "capacity" -> capacity(rights);
            case "routers" -> routers();
            case "classes" -> classes(rights);
            case "partners" -> partners(rights);
            case "changes" -> changes();
            default ->
                    throw new TroutpierException(
                            ResultCode.MALFORMED_REQUEST,
                            "cannot show "
                                    + thing
                                    + "; can show requests, upstreams, capacity, routers,"
                                    + " classes, partners, changes");
        };
    }

    private ResultTable requests(Rights rights) {
        List<Map<String, String>> rows = new ArrayList<>();
        long now = mNode.nanos().getAsLong();
        for (RequestExchange running : mRegistry.all()) {
            if (rights.covers(running.requestClass().partner())) {
                rows.add(
                        row(
                                "id", running.id(),
                                "partner", running.requestClass().partner(),
                                "class", running.requestClass().name(),
                                "state", running.currentStage().label(),
                                "upstream", running.currentUpstream(),
                                "age_ms", (now - running.arrivalNanos()) / NANOS_PER_MILLI));
            }
        }
        return new ResultTable(
                List.of("id", "partner", "class", "state", "upstream", "age_ms"), rows);
    }

    private ResultTable upstreams(Rights rights) {
        List<Map<String, String>> rows = new ArrayList<>();
        long now = mNode.nanos().getAsLong();
        for (UpstreamState state : mUpstreamRegistry.all()) {
            if (rights.covers(state.declaration().owner())) {
                rows.add(
                        row(
                                "id", state.declaration().id(),
                                "owner", state.declaration().owner(),
                                "role", state.declaration().role().label(),
                                "serves", state.declaration().serves(),
                                "hall", state.declaration().hall(),
                                "slots", state.declaration().slots(),
                                "mine", state.localRequests(),
                                "running", state.estimatedRunning(),
                                "state", upstreamState(state, now)));
            }
        }
        return new ResultTable(
                List.of(
                        "id", "owner", "role", "serves", "hall", "slots", "mine", "running",
                        "state"),
                rows);
    }

    /** Returns the state of an upstream as one word. */
    private static String upstreamState(UpstreamState state, long now) {
        if (state.declaration().draining()) {
            return "draining";
        }
        if (state.isLeaving()) {
            return "leaving";
        }
        return state.isUsable(now) ? "live" : "silent";
    }

    /** Returns the number and load of the usable upstreams, by model or service and role. */
    private ResultTable capacity(Rights rights) {
        Map<String, int[]> sums = new LinkedHashMap<>();
        long now = mNode.nanos().getAsLong();
        for (UpstreamState state : mUpstreamRegistry.all()) {
            Role role = state.declaration().role();
            String key = state.declaration().serves() + " " + role.label();
            if (rights.covers(state.declaration().owner()) && state.isUsable(now)) {
                int[] sum = sums.computeIfAbsent(key, any -> new int[3]);
                sum[0]++;
                sum[1] += state.declaration().slots();
                sum[2] += state.estimatedRunning();
            }
        }
        List<Map<String, String>> rows = new ArrayList<>();
        sums.forEach(
                (key, sum) ->
                        rows.add(
                                row(
                                        "serves", key.split(" ")[0],
                                        "role", key.split(" ")[1],
                                        "upstreams", sum[0],
                                        "slots", sum[1],
                                        "running", sum[2])));
        return new ResultTable(List.of("serves", "role", "upstreams", "slots", "running"), rows);
    }

    private ResultTable routers() {
        Map<Incarnation, Long> versions = mPeers.configurationVersions();
        List<Map<String, String>> rows = new ArrayList<>();
        for (Membership.Member member : mMembership.live()) {
            boolean self = member.incarnation().equals(mNode.incarnation());
            boolean heard = self || mMembership.heardRecently(member.incarnation());
            rows.add(
                    row(
                            "id", member.incarnation().instance(),
                            "hall", member.hall(),
                            "version", versions.getOrDefault(member.incarnation(), -1L),
                            "leaving", member.leaving(),
                            "heard", heard));
        }
        return new ResultTable(List.of("id", "hall", "version", "leaving", "heard"), rows);
    }

    private ResultTable classes(Rights rights) {
        List<Map<String, String>> rows = new ArrayList<>();
        for (ClassDeclaration declared : mConfigurations.current().classes()) {
            if (rights.covers(declared.partner())) {
                rows.add(
                        row(
                                "name", declared.name(),
                                "partner", declared.partner(),
                                "serves", declared.serves(),
                                "repeatable", declared.repeatable(),
                                "keyed", declared.keyed(),
                                "first_token_ms", declared.firstTokenMillis(),
                                "per_token_ms", declared.perTokenMillis(),
                                "deadline_ms", declared.deadlineMillis()));
            }
        }
        return new ResultTable(
                List.of(
                        "name",
                        "partner",
                        "serves",
                        "repeatable",
                        "keyed",
                        "first_token_ms",
                        "per_token_ms",
                        "deadline_ms"),
                rows);
    }

    private ResultTable partners(Rights rights) {
        Declarations visible = DeclarationAccess.visible(mConfigurations.current(), rights);
        List<Map<String, String>> rows =
                visible.partners().stream()
                        .map(
                                partner ->
                                        row(
                                                "id", partner.id(),
                                                "share", partner.share(),
                                                "queue_limit", partner.queueLimit(),
                                                "in_flight_limit", partner.inFlightLimit()))
                        .toList();
        return new ResultTable(List.of("id", "share", "queue_limit", "in_flight_limit"), rows);
    }

    /** Returns the steps of changes that are still in the event ring. */
    private ResultTable changes() {
        List<Map<String, String>> rows = new ArrayList<>();
        for (Event event : mNode.events().eventsAbout("")) {
            if (event.kind().startsWith("change-") || event.kind().equals("version")) {
                rows.add(
                        row(
                                "change", event.subject(),
                                "step", event.kind(),
                                "detail", event.detail()));
            }
        }
        return new ResultTable(List.of("change", "step", "detail"), rows);
    }

    /**
     * Creates a row.
     *
     * @param cells alternating names and values
     * @return the row
     */
    private static Map<String, String> row(Object... cells) {
        Map<String, String> row = new LinkedHashMap<>();
        for (int index = 0; index < cells.length; index += 2) {
            row.put((String) cells[index], Optional.of(cells[index + 1]).get().toString());
        }
        return row;
    }
}
