package org.troutpier.standins.load;

import org.troutpier.common.settings.Check;

/**
 * One kind of request in a mix. Immutable and thread safe.
 *
 * @param name what the table calls it
 * @param partner whose it is, for the table
 * @param token the caller's token
 * @param requestClass the request class
 * @param method the HTTP method, for a plain service
 * @param path the path, for a plain service; empty for a completion
 * @param perSecond how many arrive in a second, on average
 * @param promptTokens how long a prompt is, on average
 * @param sharedTokens how much of each prompt is the same in all
 * @param outputTokens how long an answer is, on average
 * @param keyed whether each request brings a key
 * @param firstTokenMillis the first token's target, 0 for none
 * @param perTokenMillis the target between tokens, 0 for none
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

    /** The fastest stream that may be set, requests a second. */
    private static final double MAX_RATE = 1e6;

    /** The longest prompt or answer that may be set, tokens. */
    private static final int MAX_TOKENS = 1_000_000;

    /** Checks the fields and fills the defaults. */
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
     * Returns whether this asks a model.
     *
     * @return whether it is a completion
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
