package org.troutpier.daemon.serving;

/**
 * Limits of serving. Immutable and thread safe.
 *
 * @param extraCallRatio extra calls per request, over all routers
 * @param extraCallAllowance extra calls in a window without requests, for this router
 * @param extraCallWindowMillis the window for both, milliseconds
 */
public record ServingSettings(
        double extraCallRatio, double extraCallAllowance, long extraCallWindowMillis) {

    /**
     * How long before the caller's deadline the final answer is sent, milliseconds: several times
     * the network latency to a caller (3 ms).
     */
    static final long ANSWER_MARGIN_MILLIS = 20;

    /**
     * Silence after which a repeatable call is retried at another upstream, while attempts and time
     * for one are left, in multiples of the route's target.
     */
    static final double PLAIN_SILENCE_FACTOR = 2.0;

    /**
     * The longest time-out of a prefill, milliseconds: about ten times the prefill time of the
     * largest prompt (11,000 tokens at 55 per millisecond). Also used while no prediction is known.
     */
    static final long MAX_PREFILL_MILLIS = 2000;

    /**
     * The shortest time-out of a prefill, milliseconds: twice the prefill time of the largest
     * prompt.
     */
    static final long MIN_PREFILL_TIMEOUT_MILLIS = 400;

    /** The time-out of a prefill in multiples of its predicted duration. */
    static final double PREFILL_TIMEOUT_FACTOR = 3;

    /**
     * Silence after which another engine is searched for a stream that can be resumed,
     * milliseconds. The run goes on meanwhile.
     */
    static final long STREAM_SILENCE_MILLIS = 1200;

    /** Interval at which another engine is searched again for a silent stream, milliseconds. */
    static final long SILENCE_CHECK_MILLIS = 400;

    /**
     * How long two runs of a stream may go on once the second one has sent a head, milliseconds. An
     * engine must have stopped 400 ms after its stream was continued elsewhere; the rest is for the
     * cancellation to arrive.
     */
    static final long MAX_OVERLAP_MILLIS = 300;

    /** When a caller should retry if no better value is known, milliseconds. */
    static final long RETRY_AFTER_MILLIS = 400;

    /**
     * The longest retry delay of a caller, as a part of the request's remaining time. A back-off of
     * the upstreams may extend it.
     */
    static final double MAX_RETRY_AFTER_RATIO = 0.32;

    /** How many upstreams a request may find unreachable or replaced. */
    static final int MAX_UNREACHED = 3;

    /**
     * How much of a prefill result's lifetime is left for the decode engine to fetch it,
     * milliseconds.
     */
    static final long FETCH_MARGIN_MILLIS = 150;
}
