package org.troutpier.daemon.quarantine;

import java.util.List;
import java.util.Map;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.result.ResultCode;

/**
 * Shows operators which requests are known, and clears them. Confined to the traffic loop.
 * Invariant: nothing of a request is shown but a hash of it.
 */
public final class QuarantineHandler implements HttpHandler {

    /** Where the requests are listed. */
    public static final String PATH = "/quarantine";

    /** Where a request is cleared. */
    public static final String CLEAR_PATH = "/quarantine/clear";

    /** Names the request to be cleared. */
    public static final String CONTENT = "content";

    /** What holds. */
    private final QuarantineSettings mSettings;

    /** The requests. */
    private final Quarantine mQuarantine;

    /**
     * A request as it is shown.
     *
     * @param content the name in log lines
     * @param fingerprint the whole name
     * @param held whether it is no longer run
     * @param generation how often it was cleared
     * @param ended the upstreams that ended under it since
     */
    public record Entry(
            String content, String fingerprint, boolean held, int generation, List<String> ended) {}

    /**
     * Creates a handler.
     *
     * @param settings what holds
     * @param quarantine the requests
     */
    public QuarantineHandler(QuarantineSettings settings, Quarantine quarantine) {
        mSettings = settings;
        mQuarantine = quarantine;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals(PATH) && exchange.method().equals("GET")) {
            exchange.answer(Answers.json(200, listed()));
        } else if (exchange.path().equals(CLEAR_PATH) && exchange.method().equals("POST")) {
            clear(exchange);
        } else {
            exchange.answer(Answers.refusal(ResultCode.UNKNOWN_PATH, exchange.path()));
        }
    }

    /**
     * Lists the requests.
     *
     * @return each of them
     */
    private List<Entry> listed() {
        return mQuarantine.records().entrySet().stream()
                .map(each -> listed(each.getKey(), each.getValue()))
                .toList();
    }

    /**
     * Lists one request.
     *
     * @param request the request
     * @param record what is known of it
     * @return the request as it is shown
     */
    private Entry listed(RequestFingerprint request, CrashRecord record) {
        return new Entry(
                request.shortName(),
                request.value(),
                mQuarantine.isQuarantined(request),
                record.generation(),
                record.ended().stream().map(Object::toString).toList());
    }

    /**
     * Clears a request for an operator who has the token.
     *
     * @param exchange the operator's request
     */
    private void clear(HttpExchange exchange) {
        boolean allowed =
                Tokens.bearer(exchange.header("Authorization"))
                        .filter(token -> mSettings.mayClear(Tokens.hash(token)))
                        .isPresent();
        if (!allowed) {
            exchange.answer(Answers.refusal(ResultCode.UNKNOWN_TOKEN, "clearing needs the token"));
            return;
        }
        int cleared = mQuarantine.clear(exchange.query(CONTENT));
        exchange.answer(Answers.json(200, Map.of("cleared", cleared)));
    }
}
