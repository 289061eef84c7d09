package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts sent messages, in total and by kind, since these messages are most of what routers cost
 * each other. Confined to the control thread.
 */
final class SentMessageCounters {

    private final MetricRegistry mMetrics;

    private final Counter mTotal;

    /** Counters by kind, cached so that the registry is not searched for each message. */
    private final Map<String, ForKind> mByKind = new HashMap<>();

    /**
     * Counters of one kind of message. Thread safe.
     *
     * @param messages number of messages sent
     * @param bytes their size including the length field
     */
    private record ForKind(Counter messages, Counter bytes) {}

    /** Creates counters that are registered as kinds are sent. */
    SentMessageCounters(MetricRegistry metrics) {
        mMetrics = metrics;
        mTotal = metrics.counter("peer.sent");
    }

    /**
     * Counts a message.
     *
     * @param bytes its size including the length field
     */
    void count(PeerMessage message, int bytes) {
        mTotal.inc();
        ForKind kind = mByKind.computeIfAbsent(message.label(), this::register);
        kind.messages().inc();
        kind.bytes().inc(bytes);
    }

    private ForKind register(String label) {
        String name = "peer.sent." + label;
        return new ForKind(mMetrics.counter(name + ".messages"), mMetrics.counter(name + ".bytes"));
    }
}
