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
 * Serves operators: health, metrics, events, declarations and commands. Thread safe: it keeps no
 * state of its own. Invariant: an operator sees and changes only what its own partner owns.
 */
public final class OperatorHandler implements HttpHandler {

    /** Prefix of the counters of partners; the partner's id follows. */
    private static final String PARTNER_COUNTER_PREFIX = "requests.";

    /** Kind of the event whose detail starts with the partner of a request. */
    private static final String ACCEPTED_EVENT = "accepted";

    private static final int SERVICE_UNAVAILABLE = 503;

    private final Node mNode;

    private final Readiness mReadiness;

    private final ConfigurationRegistry mConfigurations;

    private final ChangeProposer mProposer;

    private final Membership mMembership;

    /** Detects whether this process was just paused. */
    private final PeerController mPeers;

    private final CommandHandler mCommands;

    /** The hash of the administrator's token, or null for none. */
    private final String mAdministratorHash;

    /**
     * Creates a handler.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param readiness whether new work is accepted
     * @param configurations the declarations in force
     * @param proposer runs changes of the declarations
     * @param membership knows the routers
     * @param peers detects whether this process was just paused
     * @param commands executes queries and commands
     * @param administratorHash the hash of the administrator's token, or null for none
     */
    public OperatorHandler(
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

    /** Returns the identity of this router and whether it is leaving. */
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

    /** Returns whether new work is accepted, and if not, why. */
    private FullHttpResponse readiness() {
        Optional<String> obstacle =
                mPeers.isStalled() ? Optional.of("just woken") : mReadiness.obstacle();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("ready", obstacle.isEmpty());
        body.put("obstacle", obstacle.orElse(""));
        body.put("version", mConfigurations.current().version());
        return HttpResponses.json(obstacle.isEmpty() ? 200 : SERVICE_UNAVAILABLE, body);
    }

    /**
     * Returns the metrics that an operator may see.
     *
     * @param rights the rights of the operator, or empty without a token
     * @return the values by name
     */
    private Map<String, Object> metrics(Optional<Rights> rights) {
        Map<String, Object> metrics = new TreeMap<>();
        for (Map.Entry<String, Counter> counter : mNode.metrics().getCounters().entrySet()) {
            if (isVisible(counter.getKey(), rights)) {
                metrics.put(counter.getKey(), counter.getValue().getCount());
            }
        }
        for (Map.Entry<String, Histogram> entry : mNode.metrics().getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            metrics.put(entry.getKey() + ".p50", snapshot.getMedian());
            metrics.put(entry.getKey() + ".p99", snapshot.get99thPercentile());
        }
        mNode.metrics().getGauges().forEach((name, gauge) -> metrics.put(name, gauge.getValue()));
        metrics.put("invariant", Invariants.violationCount());
        metrics.put("configuration.version", mConfigurations.current().version());
        return metrics;
    }

    /** Returns whether a counter belongs to no partner or to one that the rights cover. */
    private static boolean isVisible(String name, Optional<Rights> rights) {
        if (!name.startsWith(PARTNER_COUNTER_PREFIX)) {
            return true;
        }
        String partner = name.substring(PARTNER_COUNTER_PREFIX.length()).split("\\.", 2)[0];
        return rights.isPresent() && rights.get().covers(new PartnerId(partner));
    }

    /**
     * Returns the events except those of requests whose acceptance for another partner is still in
     * the event ring.
     */
    private List<Event> events(HttpExchange exchange) {
        Rights rights = rights(exchange);
        Set<String> hiddenSubjects = new HashSet<>();
        for (Event event : mNode.events().eventsAbout("")) {
            boolean accepted = event.kind().equals(ACCEPTED_EVENT);
            if (accepted && !rights.covers(new PartnerId(event.detail().split("/", 2)[0]))) {
                hiddenSubjects.add(event.subject());
            }
        }
        return mNode.events().eventsAbout(exchange.query("subject")).stream()
                .filter(event -> !hiddenSubjects.contains(event.subject()))
                .toList();
    }

    /** Answers with the visible declarations, or replaces the operator's part. */
    private void declarations(HttpExchange exchange) {
        Rights rights = rights(exchange);
        if (exchange.method().equals("GET")) {
            Declarations visible = DeclarationAccess.visible(mConfigurations.current(), rights);
            exchange.answer(HttpResponses.json(200, visible));
            return;
        }
        DeclarationPart part = Json.read(exchange.body(), DeclarationPart.class);
        propose(exchange, whole -> DeclarationAccess.withPart(whole, part, rights));
    }

    /** Proposes a change and answers with its result. */
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
                                                                                answerChange(
                                                                                        exchange,
                                                                                        done,
                                                                                        why))));
    }

    /**
     * Answers with the result of a change or the failure of a command.
     *
     * @param exchange the request
     * @param done the declarations in force, or null on failure
     * @param why the failure, or null
     */
    static void answerChange(HttpExchange exchange, Declarations done, Throwable why) {
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

    /** Executes a command. */
    private void command(HttpExchange exchange) {
        Rights rights = rights(exchange);
        String text = Json.read(exchange.body(), CommandText.class).text();
        mCommands
                .execute(text, rights)
                .whenComplete(
                        (reply, why) ->
                                exchange.loop().execute(() -> answerCommand(exchange, reply, why)));
    }

    /**
     * Answers with the rows of a query, or proposes the change that a command asks for.
     *
     * @param exchange the request
     * @param reply the result of the command, or null on failure
     * @param why the failure, or null
     */
    private void answerCommand(HttpExchange exchange, CommandHandler.Reply reply, Throwable why) {
        if (reply instanceof CommandHandler.Rows rows) {
            exchange.answer(HttpResponses.json(200, rows));
        } else if (reply instanceof CommandHandler.Edit edit) {
            propose(exchange, edit.edit());
        } else {
            answerChange(exchange, null, why);
        }
    }

    /** The body of a command. Immutable and thread safe. */
    private record CommandText(String text) {

        private CommandText {
            if (text == null) {
                throw new IllegalArgumentException("text is missing");
            }
        }
    }

    /** Returns the rights of the operator; fails if the token is unknown. */
    private Rights rights(HttpExchange exchange) {
        return Rights.forAuthorization(
                exchange.header("Authorization"), mAdministratorHash, mConfigurations.current());
    }

    /** Returns the rights of the operator, or empty without a token. */
    private Optional<Rights> optionalRights(HttpExchange exchange) {
        return exchange.header("Authorization") == null
                ? Optional.empty()
                : Optional.of(rights(exchange));
    }
}
