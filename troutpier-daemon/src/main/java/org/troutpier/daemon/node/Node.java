package org.troutpier.daemon.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;

/**
 * The identity, threads, clock and metrics of one router. Immutable; all components are thread
 * safe.
 *
 * @param incarnation this start of the instance
 * @param hall the data hall of the instance
 * @param loops the event loops that carry traffic
 * @param control executes the tasks that access control state, on one thread
 * @param calls sends HTTP requests
 * @param metrics the metrics
 * @param events keeps the latest events
 * @param nanos the monotonic clock, nanoseconds
 */
public record Node(
        Incarnation incarnation,
        HallId hall,
        EventLoopGroup loops,
        ControlExecutor control,
        HttpClient calls,
        MetricRegistry metrics,
        EventRing events,
        LongSupplier nanos) {

    /** Returns the time of the monotonic clock in milliseconds. */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong());
    }

    /** Increments a counter. */
    public void count(String name) {
        metrics.counter(name).inc();
    }
}
