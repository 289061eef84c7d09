package org.troutpier.daemon.quarantine;

import java.util.List;
import java.util.Map;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.result.ResultCode;

/**
 * Lists recorded contents and parts of requests to operators and clears them. Confined to the
 * traffic loop. Invariant: of a request, only hashes and the ids of parts of its prompt are shown.
 */
public final class QuarantineHandler implements HttpHandler {

    /** Path at which the requests are listed. */
    public static final String PATH = "/quarantine";

    /** Path at which a request is cleared. */
    public static final String CLEAR_PATH = "/quarantine/clear";

    /** Query parameter that identifies the content or part to clear. */
    public static final String CONTENT = "content";

    private final QuarantineSettings mSettings;

    private final Quarantine mQuarantine;

    /**
     * A listed trait.
     *
     * @param content the short name, as in log lines
     * @param fingerprint the whole key
     * @param held whether requests are withheld for it, alone or together with another one
     * @param generation how often it was cleared
     * @param ended the upstreams that crashed since it was last cleared
     */
    public record Entry(
            String content, String fingerprint, boolean held, int generation, List<String> ended) {}

    /** Creates a handler. */
    public QuarantineHandler(QuarantineSettings settings, Quarantine quarantine) {
        mSettings = settings;
        mQuarantine = quarantine;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals(PATH) && exchange.method().equals("GET")) {
            exchange.answer(HttpResponses.json(200, entries()));
        } else if (exchange.path().equals(CLEAR_PATH) && exchange.method().equals("POST")) {
            clear(exchange);
        } else {
            exchange.answer(HttpResponses.refusal(ResultCode.UNKNOWN_PATH, exchange.path()));
        }
    }

    private List<Entry> entries() {
        return mQuarantine.records().entrySet().stream()
                .map(each -> entry(each.getKey(), each.getValue()))
                .toList();
    }

    private Entry entry(CrashTrait trait, CrashRecord record) {
        return new Entry(
                trait.shortName(),
                trait.key(),
                mQuarantine.isQuarantined(trait),
                record.generation(),
                record.ended().stream().map(Object::toString).toList());
    }

    /** Clears a request if the caller has the token. */
    private void clear(HttpExchange exchange) {
        boolean allowed =
                Tokens.parseBearer(exchange.header("Authorization"))
                        .filter(token -> mSettings.mayClear(Tokens.hash(token)))
                        .isPresent();
        if (!allowed) {
            exchange.answer(
                    HttpResponses.refusal(ResultCode.UNKNOWN_TOKEN, "clearing needs the token"));
            return;
        }
        int cleared = mQuarantine.clear(exchange.query(CONTENT));
        exchange.answer(HttpResponses.json(200, Map.of("cleared", cleared)));
    }
}
