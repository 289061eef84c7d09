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
 * What this router can show: requests, upstreams, capacity, routers, classes, partners, changes.
 * Confined to the control thread. Invariant: no row of another partner is ever made for an
 * operator.
 */
final class Inventory {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS = 1_000_000L;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The requests that this router carries. */
    private final ExchangeRegistry mRegistry;

    /** All upstreams. */
    private final UpstreamRegistry mUpstreamRegistry;

    /** Who the routers are. */
    private final Membership mMembership;

    /** The declarations in force. */
    private final ConfigurationRegistry mConfigurations;

    /** Provides the versions of the other routers. */
    private final PeerController mPeers;

    /**
     * Creates an inventory.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param registry the requests that this router carries
     * @param upstreamRegistry all upstreams
     * @param membership who the routers are
     * @param configurations the declarations in force
     * @param peers knows the versions of the other routers
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
     * Makes the rows of a kind of thing.
     *
     * @param thing the kind
     * @param rights whose operator asks
     * @return the rows
     */
    Shown show(String thing, Rights rights) {
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

    /**
     * Shows the requests that this router carries.
     *
     * @param rights whose operator asks
     * @return the rows
     */
    private Shown requests(Rights rights) {
        List<Map<String, String>> rows = new ArrayList<>();
        long now = mNode.nanos().getAsLong();
        for (RequestExchange running : mRegistry.all()) {
            if (rights.covers(running.declared().partner())) {
                rows.add(
                        row(
                                "id", running.id(),
                                "partner", running.declared().partner(),
                                "class", running.declared().name(),
                                "state", running.currentStage().label(),
                                "upstream", running.currentUpstream(),
                                "age_ms", (now - running.arrivalNanos()) / NANOS));
            }
        }
        return new Shown(List.of("id", "partner", "class", "state", "upstream", "age_ms"), rows);
    }

    /**
     * Shows the upstreams.
     *
     * @param rights whose operator asks
     * @return the rows
     */
    private Shown upstreams(Rights rights) {
        List<Map<String, String>> rows = new ArrayList<>();
        long now = mNode.nanos().getAsLong();
        for (UpstreamState state : mUpstreamRegistry.all()) {
            if (rights.covers(state.declared().owner())) {
                rows.add(
                        row(
                                "id", state.declared().id(),
                                "owner", state.declared().owner(),
                                "role", state.declared().role().label(),
                                "serves", state.declared().serves(),
                                "hall", state.declared().hall(),
                                "slots", state.declared().slots(),
                                "mine", state.mine(),
                                "running", state.guessedRunning(),
                                "state", condition(state, now)));
            }
        }
        return new Shown(
                List.of(
                        "id", "owner", "role", "serves", "hall", "slots", "mine", "running",
                        "state"),
                rows);
    }

    /**
     * Says how an upstream fares.
     *
     * @param state the upstream
     * @param now the time
     * @return one word
     */
    private static String condition(UpstreamState state, long now) {
        if (state.declared().draining()) {
            return "draining";
        }
        if (state.isLeaving()) {
            return "leaving";
        }
        return state.usable(now) ? "live" : "silent";
    }

    /**
     * Shows what each model or service could take.
     *
     * @param rights whose operator asks
     * @return the rows
     */
    private Shown capacity(Rights rights) {
        Map<String, int[]> sums = new LinkedHashMap<>();
        long now = mNode.nanos().getAsLong();
        for (UpstreamState state : mUpstreamRegistry.all()) {
            Role role = state.declared().role();
            String key = state.declared().serves() + " " + role.label();
            if (rights.covers(state.declared().owner()) && state.usable(now)) {
                int[] sum = sums.computeIfAbsent(key, any -> new int[3]);
                sum[0]++;
                sum[1] += state.declared().slots();
                sum[2] += state.guessedRunning();
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
        return new Shown(List.of("serves", "role", "upstreams", "slots", "running"), rows);
    }

    /**
     * Shows the routers.
     *
     * @return the rows
     */
    private Shown routers() {
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
        return new Shown(List.of("id", "hall", "version", "leaving", "heard"), rows);
    }

    /**
     * Shows the request classes.
     *
     * @param rights whose operator asks
     * @return the rows
     */
    private Shown classes(Rights rights) {
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
        return new Shown(
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

    /**
     * Shows the partners.
     *
     * @param rights whose operator asks
     * @return the rows
     */
    private Shown partners(Rights rights) {
        Declarations visible = ShareEdit.visible(mConfigurations.current(), rights);
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
        return new Shown(List.of("id", "share", "queue_limit", "in_flight_limit"), rows);
    }

    /**
     * Shows the changes that this router has seen lately.
     *
     * @return the rows
     */
    private Shown changes() {
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
        return new Shown(List.of("change", "step", "detail"), rows);
    }

    /**
     * Makes a row.
     *
     * @param cells names and values by turns
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
