package org.troutpier.standins.load;

import org.troutpier.common.settings.Check;

/**
 * One kind of request in a mix. Immutable and thread safe.
 *
 * @param name the name in the table of results
 * @param partner the partner that sends the requests
 * @param token the token of the caller
 * @param requestClass the request class
 * @param method the HTTP method, for a plain service
 * @param path the path, for a plain service; empty for a completion
 * @param perSecond the mean arrival rate, requests per second
 * @param promptTokens the mean length of a prompt
 * @param sharedTokens the length of the prefix that all prompts share
 * @param outputTokens the mean length of an answer
 * @param keyed whether each request carries an idempotency key
 * @param firstTokenMillis the target for the time to the first token, 0 for none
 * @param perTokenMillis the target for the mean time between tokens, 0 for none
 */
public record LoadStream(
        String name,
        String partner,
        String token,
        String requestClass,
        String method,
        String path,
        double perSecond,
        int promptTokens,
        int sharedTokens,
        int outputTokens,
        boolean keyed,
        int firstTokenMillis,
        int perTokenMillis) {

    /** The highest rate that may be configured, requests per second. */
    private static final double MAX_RATE = 1e6;

    /** The longest prompt or answer that may be configured. */
    private static final int MAX_TOKENS = 1_000_000;

    /** Validates the fields and applies the defaults. */
    public LoadStream {
        Check.present("name", name);
        Check.present("partner", partner);
        Check.present("token", token);
        Check.present("requestClass", requestClass);
        method = method == null ? "GET" : method;
        path = path == null ? "" : path;
        Check.that("perSecond", perSecond > 0 && perSecond <= MAX_RATE, "must be above 0");
        Check.range("promptTokens", promptTokens, 0, MAX_TOKENS);
        Check.range("sharedTokens", sharedTokens, 0, promptTokens);
        Check.range("outputTokens", outputTokens, 0, MAX_TOKENS);
    }

    /**
     * Returns whether the requests are completions.
     *
     * @return whether they go to a model rather than to a plain service
     */
    public boolean completion() {
        return path.isEmpty();
    }

    /**
     * Returns the stream with its rate multiplied.
     *
     * @param factor the factor
     * @return a new stream
     */
    public LoadStream scaled(double factor) {
        return new LoadStream(
                name,
                partner,
                token,
                requestClass,
                method,
                path,
                perSecond * factor,
                promptTokens,
                sharedTokens,
                outputTokens,
                keyed,
                firstTokenMillis,
                perTokenMillis);
    }
}
