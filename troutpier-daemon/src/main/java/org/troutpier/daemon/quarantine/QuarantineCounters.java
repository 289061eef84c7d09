package org.troutpier.daemon.quarantine;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters of a quarantine, separate for contents and parts. Immutable and thread safe.
 *
 * @param contents counts what concerns contents of requests
 * @param parts counts what concerns parts of prompts
 */
record QuarantineCounters(ForKind contents, ForKind parts) {

    /** Registers the counters. */
    static QuarantineCounters register(MetricRegistry metrics) {
        return new QuarantineCounters(
                ForKind.register(metrics, "quarantine"),
                ForKind.register(metrics, "quarantine.parts"));
    }

    /** Returns the counters of a trait's kind. */
    ForKind of(CrashTrait trait) {
        return trait instanceof CrashTrait.ForPart ? parts : contents;
    }

    /**
     * Counters of one kind of trait. Immutable and thread safe.
     *
     * @param crashes counts crashes that this router recorded
     * @param entered counts traits that entered quarantine, as known to this router
     * @param cleared counts traits that this router cleared
     * @param withheld counts requests that this router did not run
     * @param trials counts requests that this router ran on trial
     */
    record ForKind(
            Counter crashes, Counter entered, Counter cleared, Counter withheld, Counter trials) {

        private static ForKind register(MetricRegistry metrics, String prefix) {
            return new ForKind(
                    metrics.counter(prefix + ".crashes"),
                    metrics.counter(prefix + ".entered"),
                    metrics.counter(prefix + ".cleared"),
                    metrics.counter(prefix + ".withheld"),
                    metrics.counter(prefix + ".trials"));
        }
    }
}
