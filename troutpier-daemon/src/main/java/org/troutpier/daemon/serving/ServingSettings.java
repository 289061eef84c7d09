package org.troutpier.daemon.serving;

/**
 * Limits of serving. Immutable and thread safe.
 *
 * @param extraCallRatio extra calls for each request, over all routers
 * @param extraCallAllowance extra calls in a window without requests, for this router
 * @param extraCallWindowMillis the window of both, milliseconds
 */
public record ServingSettings(
        double extraCallRatio, double extraCallAllowance, long extraCallWindowMillis) {

    /**
     * How long before the caller gives up the final answer is sent, milliseconds: a few times the
     * way to a caller (3 ms).
     */
    static final long ANSWER_MARGIN_MILLIS = 20;

    /**
     * How many times its target a repeatable call may be silent at one upstream while another may
     * still be asked.
     */
    static final double PLAIN_SILENCE_FACTOR = 2.0;

    /**
     * How long a prefill may take at most, milliseconds: some ten times the time of the largest
     * prompt (11,000 tokens at 55 a millisecond).
     */
    static final long MAX_PREFILL_MILLIS = 2000;

    /**
     * How long a prefill may take at least before it is given up, milliseconds: twice the time of
     * the largest prompt.
     */
    static final long MIN_PREFILL_TIMEOUT_MILLIS = 400;

    /** How many times as long as predicted a prefill may take. */
    static final double PREFILL_TIMEOUT_FACTOR = 3;

    /** How long a stream that can be continued elsewhere may be silent, milliseconds. */
    static final long STREAM_SILENCE_MILLIS = 1200;

    /** When a caller is asked to come back where nothing better is known, milliseconds. */
    static final long RETRY_AFTER_MILLIS = 400;

    /** Which part of the time left callers wait at most before they come back. */
    static final double MAX_RETRY_AFTER_RATIO = 0.32;

    /** How many upstreams that cannot be reached a request is tried at. */
    static final int MAX_UNREACHED = 3;

    /**
     * How much of the time for which a prefill result is kept is left to the engine that fetches
     * it, milliseconds.
     */
    static final long FETCH_MARGIN_MILLIS = 150;
}
