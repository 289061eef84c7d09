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
import org.troutpier.daemon.request.CompletionExchange.CompletionRequest;
import org.troutpier.daemon.request.ExchangeServices;
import org.troutpier.daemon.request.ServiceExchange;

/**
 * Validates and classifies the requests of callers and starts their exchanges. Thread safe: it
 * keeps no state of its own. Invariant: a request that fails a check never reaches an upstream.
 */
public final class CallerHandler implements HttpHandler {

    /** The header that names the request class. */
    public static final String CLASS_HEADER = "Troutpier-Class";

    /** The header with the caller's idempotency key. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** The header with the caller's own mark. */
    private static final String CALL_HEADER = "X-Call";

    private static final String COMPLETIONS_PATH = "/v1/completions";

    private static final String SERVICES_PREFIX = "/services/";

    /** Applies if the caller sets no {@code max_tokens}. */
    private static final int DEFAULT_MAX_TOKENS = 16;

    private static final int MAX_TOKENS_LIMIT = 32_768;

    private static final int MAX_KEY_LENGTH = 200;

    private final ExchangeServices mServices;

    private final ConfigurationRegistry mConfigurations;

    private final Readiness mReadiness;

    /** Detects whether this process was just paused. */
    private final PeerController mPeers;

    /**
     * Creates a handler.
     *
     * @param services what every exchange uses
     * @param configurations the declarations in force
     * @param readiness whether new work is accepted
     * @param peers detects whether this process was just paused
     */
    public CallerHandler(
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
     * A request whose head is valid. Immutable and thread safe.
     *
     * @param partner the partner of the caller
     * @param requestClass the request class
     */
    private record ValidatedHead(PartnerDeclaration partner, ClassDeclaration requestClass) {}

    /** {@inheritDoc} */
    @Override
    public Optional<TroutpierException> screen(HttpRequest head) {
        try {
            String path = head.uri().split("\\?", 2)[0];
            ValidatedHead checked = validateHead(path, head.headers());
            long length = HttpUtil.getContentLength(head, 0L);
            checkBodySize(checked.requestClass(), length);
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
        ValidatedHead validated = validateHead(exchange.path(), exchange.headers());
        ClassDeclaration requestClass = validated.requestClass();
        checkBodySize(requestClass, exchange.body().length);
        String key = idempotencyKey(requestClass, exchange);
        String call = exchange.header(CALL_HEADER) == null ? "" : exchange.header(CALL_HEADER);
        RequestId id = new RequestId(UUID.randomUUID().toString());
        String target = exchange.method() + " " + exchange.rawPath() + "?" + exchange.rawQuery();
        String fingerprint =
                key == null ? "" : Tokens.hash(target + " " + Tokens.hash(exchange.body()));
        Arrival arrival = new Arrival(exchange, id, requestClass, key, fingerprint, call);
        int limit = validated.partner().inFlightLimit();
        if (requestClass.kind() == Kind.COMPLETION) {
            CompletionRequest completion = parseCompletion(exchange);
            new CompletionExchange(mServices, arrival, completion).start(limit);
        } else {
            new ServiceExchange(mServices, arrival, servicePath(exchange)).start(limit);
        }
    }

    /**
     * Validates the head of a request.
     *
     * @param path the path
     * @param headers the headers
     * @return the partner and the request class
     */
    private ValidatedHead validateHead(String path, HttpHeaders headers) {
        Optional<String> obstacle = mReadiness.obstacle();
        if (obstacle.isPresent() || mPeers.isStalled()) {
            throw new TroutpierException(
                    ResultCode.ROUTER_NOT_READY, obstacle.orElse("just woken"));
        }
        Declarations declarations = mConfigurations.current();
        PartnerDeclaration partner =
                findPartner(declarations, headers.get(HttpHeaderNames.AUTHORIZATION));
        String wanted = headers.get(CLASS_HEADER);
        if (path.equals(COMPLETIONS_PATH)) {
            return new ValidatedHead(partner, findClass(declarations, partner, wanted, null));
        }
        if (!path.startsWith(SERVICES_PREFIX)) {
            throw new TroutpierException(ResultCode.UNKNOWN_PATH, path);
        }
        String service = path.substring(SERVICES_PREFIX.length()).split("/", 2)[0];
        return new ValidatedHead(partner, findClass(declarations, partner, wanted, service));
    }

    /**
     * Finds the partner by the caller's token.
     *
     * @param declarations the declarations in force
     * @param authorization the {@code Authorization} header, or null
     * @return the partner
     */
    private static PartnerDeclaration findPartner(Declarations declarations, String authorization) {
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
     * Finds the class of a request. Without a class header the class must be unambiguous.
     *
     * @param declarations the declarations in force
     * @param partner the partner of the caller
     * @param wanted the class that the caller names, or null
     * @param service the service in the path, or null for a completion
     * @return the request class
     */
    private static ClassDeclaration findClass(
            Declarations declarations, PartnerDeclaration partner, String wanted, String service) {
        Kind kind = service == null ? Kind.COMPLETION : Kind.SERVICE;
        List<ClassDeclaration> candidates =
                declarations
                        .classesOf(partner.id())
                        .filter(declared -> declared.kind() == kind)
                        .filter(declared -> service == null || declared.serves().equals(service))
                        .toList();
        if (service != null && candidates.isEmpty()) {
            throw new TroutpierException(unknownServiceCode(declarations, service), service);
        }
        if (wanted == null && candidates.size() == 1) {
            return candidates.get(0);
        }
        if (wanted == null) {
            throw new TroutpierException(
                    ResultCode.UNKNOWN_CLASS, "name one in the header " + CLASS_HEADER);
        }
        return candidates.stream()
                .filter(declared -> declared.name().value().equals(wanted))
                .findFirst()
                .orElseThrow(() -> new TroutpierException(ResultCode.UNKNOWN_CLASS, wanted));
    }

    /** Distinguishes a service of another partner from one that nobody declares. */
    private static ResultCode unknownServiceCode(Declarations declarations, String service) {
        boolean declaredByOther =
                declarations.classes().stream()
                        .anyMatch(
                                declared ->
                                        declared.kind() == Kind.SERVICE
                                                && declared.serves().equals(service));
        return declaredByOther ? ResultCode.WRONG_PARTNER : ResultCode.UNKNOWN_SERVICE;
    }

    private static void checkBodySize(ClassDeclaration requestClass, long length) {
        if (length > requestClass.maxBodyBytes()) {
            throw new TroutpierException(
                    ResultCode.BODY_TOO_LARGE,
                    length
                            + " bytes, "
                            + requestClass.name()
                            + " takes "
                            + requestClass.maxBodyBytes());
        }
    }

    /** Returns the idempotency key, or null if none was sent and the class requires none. */
    private static String idempotencyKey(ClassDeclaration requestClass, HttpExchange exchange) {
        String key = exchange.header(KEY_HEADER);
        if (key == null && requestClass.keyed()) {
            throw new TroutpierException(
                    ResultCode.KEY_REQUIRED, requestClass.name() + " needs " + KEY_HEADER);
        }
        if (key != null && (key.isBlank() || key.length() > MAX_KEY_LENGTH)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    KEY_HEADER + " must have from 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }

    /** Parses and validates the body of a completion. */
    private static CompletionRequest parseCompletion(HttpExchange exchange) {
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
        int maxTokens = tokens.asInt(DEFAULT_MAX_TOKENS);
        if (maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    "max_tokens must be from 1 to " + MAX_TOKENS_LIMIT + " but is " + maxTokens);
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "stream must be true or false");
        }
        return new CompletionRequest(prompt.textValue(), maxTokens, stream.asBoolean());
    }

    /** Returns the path behind the service's name and the query, both still encoded. */
    private static String servicePath(HttpExchange exchange) {
        String suffix = exchange.rawPath().substring(SERVICES_PREFIX.length());
        int slash = suffix.indexOf('/');
        String path = slash < 0 ? "/" : suffix.substring(slash);
        return exchange.rawQuery().isEmpty() ? path : path + "?" + exchange.rawQuery();
    }
}
