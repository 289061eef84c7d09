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
 * The identity, threads, clock and metrics of one router. Immutable; everything in it is thread
 * safe.
 *
 * @param incarnation this start of this instance
 * @param hall the hall that it stands in
 * @param loops carries the traffic
 * @param control runs what touches control state, on one thread
 * @param calls sends HTTP requests
 * @param metrics counts
 * @param events keeps the latest events
 * @param nanos the monotonic clock, nanoseconds
 */
public record Node(
        Incarnation incarnation,
        HallId hall,
        EventLoopGroup loops,
        Control control,
        HttpClient calls,
        MetricRegistry metrics,
        EventRing events,
        LongSupplier nanos) {

    /**
     * Returns the monotonic clock.
     *
     * @return milliseconds
     */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong());
    }

    /**
     * Counts one.
     *
     * @param name the counter
     */
    public void count(String name) {
        metrics.counter(name).inc();
    }
}
