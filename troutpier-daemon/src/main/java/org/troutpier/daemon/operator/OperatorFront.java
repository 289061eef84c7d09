package org.troutpier.daemon.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Snapshot;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.event.Event;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.configuration.ChangeProposer;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.node.Invariants;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerController;

/**
 * Serves operators: health, counters, events, declarations and commands. Thread safe: it keeps no
 * state of its own. Invariant: an operator sees and changes its own partner's things only.
 */
public final class OperatorFront implements HttpHandler {

    /** Starts the names of counters that belong to a partner. */
    private static final String PARTNER_COUNTERS = "requests.";

    /** The event that says whose a request is. */
    private static final String ACCEPTED = "accepted";

    /** The status of a router that takes no new work. */
    private static final int NOT_READY = 503;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Whether new work is taken. */
    private final Readiness mReadiness;

    /** The declarations in force. */
    private final ConfigurationRegistry mConfigurations;

    /** Carries changes through. */
    private final ChangeProposer mProposer;

    /** Who the routers are. */
    private final Membership mMembership;

    /** Detects whether the process was just woken. */
    private final PeerController mPeers;

    /** Answers queries and commands. */
    private final CommandHandler mCommands;

    /** The hash of the administrator's token, or null. */
    private final String mAdministratorHash;

    /**
     * Creates a front.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param readiness whether new work is taken
     * @param configurations the declarations in force
     * @param proposer carries changes through
     * @param membership who the routers are
     * @param peers knows whether the process was just woken
     * @param commands answers queries and commands
     * @param administratorHash the hash of the administrator's token, or null
     */
    public OperatorFront(
            Node node,
            Readiness readiness,
            ConfigurationRegistry configurations,
            ChangeProposer proposer,
            Membership membership,
            PeerController peers,
            CommandHandler commands,
            String administratorHash) {
        mNode = node;
        mReadiness = readiness;
        mConfigurations = configurations;
        mProposer = proposer;
        mMembership = membership;
        mPeers = peers;
        mCommands = commands;
        mAdministratorHash = administratorHash;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/healthz" -> exchange.answer(health());
            case "/readyz" -> exchange.answer(readiness());
            case "/metrics" ->
                    exchange.answer(HttpResponses.json(200, metrics(optionalRights(exchange))));
            case "/events" -> exchange.answer(HttpResponses.json(200, events(exchange)));
            case "/v1/declarations" -> declarations(exchange);
            case "/v1/command" -> command(exchange);
            default -> throw new TroutpierException(ResultCode.UNKNOWN_PATH, exchange.path());
        }
    }

    /**
     * Tells who this router is and that it runs.
     *
     * @return the answer
     */
    private FullHttpResponse health() {
        Membership.Member self = mMembership.self();
        Map<String, Object> health = new LinkedHashMap<>();
        health.put("name", self.incarnation().instance().value());
        health.put("incarnation", self.incarnation().value());
        health.put("peer", self.address());
        health.put("hall", self.hall().value());
        health.put("state", mReadiness.isStopping() ? "leaving" : "live");
        return HttpResponses.json(200, health);
    }

    /**
     * Tells whether new work is taken.
     *
     * @return the answer
     */
    private FullHttpResponse readiness() {
        Optional<String> obstacle =
                mPeers.isStalled() ? Optional.of("just woken") : mReadiness.obstacle();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("ready", obstacle.isEmpty());
        body.put("obstacle", obstacle.orElse(""));
        body.put("version", mConfigurations.current().version());
        return HttpResponses.json(obstacle.isEmpty() ? 200 : NOT_READY, body);
    }

    /**
     * Tells the counters that an operator may see.
     *
     * @param rights whose operator asks, or empty for nobody
     * @return the counters by name
     */
    private Map<String, Object> metrics(Optional<Rights> rights) {
        Map<String, Object> metrics = new TreeMap<>();
        for (Map.Entry<String, Counter> counter : mNode.metrics().getCounters().entrySet()) {
            if (visible(counter.getKey(), rights)) {
                metrics.put(counter.getKey(), counter.getValue().getCount());
            }
        }
        for (Map.Entry<String, Histogram> entry : mNode.metrics().getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            metrics.put(entry.getKey() + ".p50", snapshot.getMedian());
            metrics.put(entry.getKey() + ".p99", snapshot.get99thPercentile());
        }
        mNode.metrics().getGauges().forEach((name, gauge) -> metrics.put(name, gauge.getValue()));
        metrics.put("invariant", Invariants.count());
        metrics.put("configuration.version", mConfigurations.current().version());
        return metrics;
    }

    /**
     * Returns whether an operator may see a counter.
     *
     * @param name the counter
     * @param rights whose operator asks, or empty for nobody
     * @return whether it is no partner's, or the operator's own
     */
    private static boolean visible(String name, Optional<Rights> rights) {
        if (!name.startsWith(PARTNER_COUNTERS)) {
            return true;
        }
        String partner = name.substring(PARTNER_COUNTERS.length()).split("\\.", 2)[0];
        return rights.isPresent() && rights.get().covers(new PartnerId(partner));
    }

    /**
     * Lists the events that an operator may see.
     *
     * @param exchange the request
     * @return the events
     */
    private List<Event> events(HttpExchange exchange) {
        Rights rights = rights(exchange);
        Set<String> others = new HashSet<>();
        for (Event event : mNode.events().eventsAbout("")) {
            boolean accepted = event.kind().equals(ACCEPTED);
            if (accepted && !rights.covers(new PartnerId(event.detail().split("/", 2)[0]))) {
                others.add(event.subject());
            }
        }
        return mNode.events().eventsAbout(exchange.query("subject")).stream()
                .filter(event -> !others.contains(event.subject()))
                .toList();
    }

    /**
     * Shows or replaces an operator's declarations.
     *
     * @param exchange the request
     */
    private void declarations(HttpExchange exchange) {
        Rights rights = rights(exchange);
        if (exchange.method().equals("GET")) {
            Declarations visible = ShareEdit.visible(mConfigurations.current(), rights);
            exchange.answer(HttpResponses.json(200, visible));
            return;
        }
        DeclarationPart part = Json.read(exchange.body(), DeclarationPart.class);
        propose(exchange, whole -> ShareEdit.replaced(whole, part, rights));
    }

    /**
     * Carries a change through and answers with how it ended.
     *
     * @param exchange the request
     * @param edit makes the new declarations of the latest
     */
    private void propose(HttpExchange exchange, UnaryOperator<Declarations> edit) {
        mNode.control()
                .execute(
                        () ->
                                mProposer
                                        .propose(edit)
                                        .whenComplete(
                                                (done, why) ->
                                                        exchange.loop()
                                                                .execute(
                                                                        () ->
                                                                                tell(
                                                                                        exchange,
                                                                                        done,
                                                                                        why))));
    }

    /**
     * Tells how a change ended.
     *
     * @param exchange the request
     * @param done the declarations in force, or null
     * @param why why they are not, or null
     */
    static void tell(HttpExchange exchange, Declarations done, Throwable why) {
        Throwable cause = why instanceof CompletionException ? why.getCause() : why;
        if (cause == null) {
            exchange.answer(
                    HttpResponses.json(
                            200,
                            Map.of(
                                    "result",
                                    "accepted",
                                    "version",
                                    done.version(),
                                    "change",
                                    done.changeId())));
        } else if (cause instanceof TroutpierException known) {
            exchange.answer(HttpResponses.refusal(known.code(), known.detail()));
        } else {
            exchange.answer(HttpResponses.refusal(ResultCode.INTERNAL, String.valueOf(cause)));
        }
    }

    /**
     * Answers a query or carries out a command.
     *
     * @param exchange the request
     */
    private void command(HttpExchange exchange) {
        Rights rights = rights(exchange);
        String text = Json.read(exchange.body(), CommandText.class).text();
        mCommands
                .run(text, rights)
                .whenComplete(
                        (reply, why) ->
                                exchange.loop().execute(() -> carryOut(exchange, reply, why)));
    }

    /**
     * Answers a query, or carries a change through.
     *
     * @param exchange the request
     * @param reply what the command comes to, or null
     * @param why why it comes to nothing, or null
     */
    private void carryOut(HttpExchange exchange, CommandHandler.Reply reply, Throwable why) {
        if (reply instanceof CommandHandler.Rows rows) {
            exchange.answer(HttpResponses.json(200, rows));
        } else if (reply instanceof CommandHandler.Edit edit) {
            propose(exchange, edit.edit());
        } else {
            tell(exchange, null, why);
        }
    }

    /**
     * The body of a command. Immutable and thread safe.
     *
     * @param text the command
     */
    private record CommandText(String text) {

        /** Checks the text. */
        private CommandText {
            if (text == null) {
                throw new IllegalArgumentException("text is missing");
            }
        }
    }

    /**
     * Finds out whose operator asks.
     *
     * @param exchange the request
     * @return the rights; fails where the token is unknown
     */
    private Rights rights(HttpExchange exchange) {
        return Rights.of(
                exchange.header("Authorization"), mAdministratorHash, mConfigurations.current());
    }

    /**
     * Finds out whose operator asks, if anybody's.
     *
     * @param exchange the request
     * @return the rights, or empty where no token was sent
     */
    private Optional<Rights> optionalRights(HttpExchange exchange) {
        return exchange.header("Authorization") == null
                ? Optional.empty()
                : Optional.of(rights(exchange));
    }
}
