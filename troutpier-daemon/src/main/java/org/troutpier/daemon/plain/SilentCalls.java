package org.troutpier.daemon.plain;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts the calls whose upstream was silent for so long that a second call was considered, by what
 * became of them. Thread safe. Invariant: each call that is begun ends in one of the three other
 * ways.
 *
 * @param begun the calls at which a second one was considered
 * @param continued those that their upstream answered after all
 * @param replaced those that were aborted because the other call was answered
 * @param ended those that failed, or whose request ended without an answer
 */
public record SilentCalls(Counter begun, Counter continued, Counter replaced, Counter ended) {

    /** Registers the counters. */
    static SilentCalls of(MetricRegistry metrics) {
        return new SilentCalls(
                metrics.counter("plain.silent.begun"),
                metrics.counter("plain.silent.continued"),
                metrics.counter("plain.silent.replaced"),
                metrics.counter("plain.silent.ended"));
    }
}
