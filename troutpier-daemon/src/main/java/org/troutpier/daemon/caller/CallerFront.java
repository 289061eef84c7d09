package org.troutpier.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.Kind;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.peer.PeerController;
import org.troutpier.daemon.request.Arrival;
import org.troutpier.daemon.request.CompletionExchange;
import org.troutpier.daemon.request.CompletionExchange.CompletionOrder;
import org.troutpier.daemon.request.ExchangeServices;
import org.troutpier.daemon.request.ServiceExchange;

/**
 * Reads, checks and classifies what callers send. Thread safe: it keeps no state of its own.
 * Invariant: nothing that fails a check reaches an upstream.
 */
public final class CallerFront implements HttpHandler {

    /** Names the request class. */
    public static final String CLASS_HEADER = "Troutpier-Class";

    /** Carries the caller's key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** Carries the caller's own mark. */
    private static final String CALL_HEADER = "X-Call";

    /** The path of completions. */
    private static final String COMPLETIONS = "/v1/completions";

    /** The path of plain services. */
    private static final String SERVICES = "/services/";

    /** How many tokens an answer has unless the caller says so. */
    private static final int DEFAULT_TOKENS = 16;

    /** How many tokens an answer may have. */
    private static final int MOST_TOKENS = 32_768;

    /** The longest key. */
    private static final int LONGEST_KEY = 200;

    /** What the handling of every request calls on. */
    private final ExchangeServices mServices;

    /** The declarations in force. */
    private final ConfigurationRegistry mConfigurations;

    /** Whether new work is taken. */
    private final Readiness mReadiness;

    /** Detects whether the process was just woken. */
    private final PeerController mPeers;

    /**
     * Creates a front.
     *
     * @param services what the handling of every request calls on
     * @param configurations the declarations in force
     * @param readiness whether new work is taken
     * @param peers knows whether the process was just woken
     */
    public CallerFront(
            ExchangeServices services,
            ConfigurationRegistry configurations,
            Readiness readiness,
            PeerController peers) {
        mServices = services;
        mConfigurations = configurations;
        mReadiness = readiness;
        mPeers = peers;
    }

    /**
     * A request that passed the checks on its head. Immutable and thread safe.
     *
     * @param partner whose caller sent it
     * @param declared its class
     */
    private record Checked(PartnerDeclaration partner, ClassDeclaration declared) {}

    /** {@inheritDoc} */
    @Override
    public Optional<TroutpierException> screen(HttpRequest head) {
        try {
            String path = head.uri().split("\\?", 2)[0];
            Checked checked = check(path, head.headers());
            long length = HttpUtil.getContentLength(head, 0L);
            requireSize(checked.declared(), length);
            return Optional.empty();
        } catch (NumberFormatException exception) {
            return Optional.of(
                    new TroutpierException(
                            ResultCode.MALFORMED_REQUEST, "the Content-Length is no number"));
        } catch (TroutpierException exception) {
            mServices.node().count("screened." + exception.code().label());
            return Optional.of(exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        Checked checked = check(exchange.path(), exchange.headers());
        ClassDeclaration declared = checked.declared();
        requireSize(declared, exchange.body().length);
        String key = key(declared, exchange);
        String call = exchange.header(CALL_HEADER) == null ? "" : exchange.header(CALL_HEADER);
        RequestId id = new RequestId(UUID.randomUUID().toString());
        String asked = exchange.method() + " " + exchange.rawPath() + "?" + exchange.rawQuery();
        String fingerprint =
                key == null ? "" : Tokens.hash(asked + " " + Tokens.hash(exchange.body()));
        Arrival arrival = new Arrival(exchange, id, declared, key, fingerprint, call);
        int limit = checked.partner().inFlightLimit();
        if (declared.kind() == Kind.COMPLETION) {
            CompletionOrder order = order(exchange);
            new CompletionExchange(mServices, arrival, order).start(limit);
        } else {
            new ServiceExchange(mServices, arrival, servicePath(exchange)).start(limit);
        }
    }

    /**
     * Checks a request's head.
     *
     * @param path the path
     * @param headers the headers
     * @return the partner and the class
     */
    private Checked check(String path, HttpHeaders headers) {
        Optional<String> obstacle = mReadiness.obstacle();
        if (obstacle.isPresent() || mPeers.isStalled()) {
            throw new TroutpierException(
                    ResultCode.ROUTER_NOT_READY, obstacle.orElse("just woken"));
        }
        Declarations declarations = mConfigurations.current();
        PartnerDeclaration partner =
                partner(declarations, headers.get(HttpHeaderNames.AUTHORIZATION));
        String wanted = headers.get(CLASS_HEADER);
        if (path.equals(COMPLETIONS)) {
            return new Checked(partner, declared(declarations, partner, wanted, null));
        }
        if (!path.startsWith(SERVICES)) {
            throw new TroutpierException(ResultCode.UNKNOWN_PATH, path);
        }
        String service = path.substring(SERVICES.length()).split("/", 2)[0];
        return new Checked(partner, declared(declarations, partner, wanted, service));
    }

    /**
     * Finds the partner whose caller sends a token.
     *
     * @param declarations the declarations in force
     * @param authorization the header that carries the token, or null
     * @return the partner
     */
    private static PartnerDeclaration partner(Declarations declarations, String authorization) {
        String hash =
                Tokens.parseBearer(authorization)
                        .map(Tokens::hash)
                        .orElseThrow(
                                () ->
                                        new TroutpierException(
                                                ResultCode.UNKNOWN_TOKEN,
                                                "no bearer token was sent"));
        return declarations.partners().stream()
                .filter(partner -> partner.callerTokenHashes().contains(hash))
                .findFirst()
                .orElseThrow(
                        () ->
                                new TroutpierException(
                                        ResultCode.UNKNOWN_TOKEN, "no caller has this token"));
    }

    /**
     * Finds the class of a request.
     *
     * @param declarations the declarations in force
     * @param partner whose caller sent it
     * @param wanted the class that the caller names, or null
     * @param service the service that the path names, or null for a completion
     * @return the class
     */
    private static ClassDeclaration declared(
            Declarations declarations, PartnerDeclaration partner, String wanted, String service) {
        Kind kind = service == null ? Kind.COMPLETION : Kind.SERVICE;
        List<ClassDeclaration> fitting =
                declarations
                        .classesOf(partner.id())
                        .filter(declared -> declared.kind() == kind)
                        .filter(declared -> service == null || declared.serves().equals(service))
                        .toList();
        if (service != null && fitting.isEmpty()) {
            throw new TroutpierException(unknownService(declarations, service), service);
        }
        if (wanted == null && fitting.size() == 1) {
            return fitting.get(0);
        }
        if (wanted == null) {
            throw new TroutpierException(
                    ResultCode.UNKNOWN_CLASS, "name one in the header " + CLASS_HEADER);
        }
        return fitting.stream()
                .filter(declared -> declared.name().value().equals(wanted))
                .findFirst()
                .orElseThrow(() -> new TroutpierException(ResultCode.UNKNOWN_CLASS, wanted));
    }

    /**
     * Says why a partner has no such service.
     *
     * @param declarations the declarations in force
     * @param service the service
     * @return whether it is another partner's or nobody's
     */
    private static ResultCode unknownService(Declarations declarations, String service) {
        boolean anothers =
                declarations.classes().stream()
                        .anyMatch(
                                declared ->
                                        declared.kind() == Kind.SERVICE
                                                && declared.serves().equals(service));
        return anothers ? ResultCode.WRONG_PARTNER : ResultCode.UNKNOWN_SERVICE;
    }

    /**
     * Checks the size of a body.
     *
     * @param declared the class
     * @param length the body's length
     */
    private static void requireSize(ClassDeclaration declared, long length) {
        if (length > declared.maxBodyBytes()) {
            throw new TroutpierException(
                    ResultCode.BODY_TOO_LARGE,
                    length + " bytes, " + declared.name() + " takes " + declared.maxBodyBytes());
        }
    }

    /**
     * Reads the caller's key.
     *
     * @param declared the class
     * @param exchange the request
     * @return the key, or null where none was sent and none is needed
     */
    private static String key(ClassDeclaration declared, HttpExchange exchange) {
        String key = exchange.header(KEY_HEADER);
        if (key == null && declared.keyed()) {
            throw new TroutpierException(
                    ResultCode.KEY_REQUIRED, declared.name() + " needs " + KEY_HEADER);
        }
        if (key != null && (key.isBlank() || key.length() > LONGEST_KEY)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    KEY_HEADER + " must have from 1 to " + LONGEST_KEY + " characters");
        }
        return key;
    }

    /**
     * Reads what is asked of a model.
     *
     * @param exchange the request
     * @return the order
     */
    private static CompletionOrder order(HttpExchange exchange) {
        if (!exchange.method().equals("POST")) {
            throw new TroutpierException(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
        }
        JsonNode body = Json.read(exchange.body(), JsonNode.class);
        JsonNode prompt = body.get("prompt");
        if (prompt == null || !prompt.isTextual() || prompt.textValue().isEmpty()) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "prompt must be a text that is not empty");
        }
        JsonNode tokens = body.path("max_tokens");
        if (!tokens.isMissingNode() && !tokens.isInt()) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "max_tokens must be a whole number");
        }
        int maxTokens = tokens.asInt(DEFAULT_TOKENS);
        if (maxTokens < 1 || maxTokens > MOST_TOKENS) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    "max_tokens must be from 1 to " + MOST_TOKENS + " but is " + maxTokens);
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "stream must be true or false");
        }
        return new CompletionOrder(prompt.textValue(), maxTokens, stream.asBoolean());
    }

    /**
     * Returns what to ask a service for.
     *
     * @param exchange the request
     * @return the path behind the service's name and the query, still encoded
     */
    private static String servicePath(HttpExchange exchange) {
        String behind = exchange.rawPath().substring(SERVICES.length());
        int slash = behind.indexOf('/');
        String path = slash < 0 ? "/" : behind.substring(slash);
        return exchange.rawQuery().isEmpty() ? path : path + "?" + exchange.rawQuery();
    }
}
