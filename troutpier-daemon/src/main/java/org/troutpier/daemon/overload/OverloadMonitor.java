package org.troutpier.daemon.overload;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.ByteMeter;
import org.troutpier.common.http.ConnectionGate;
import org.troutpier.common.logging.LogThrottle;
import org.troutpier.daemon.serving.TrafficLoop;

/**
 * Measures the load of this router itself, and reports it as gauges and, while it is too high, as a
 * line. Confined to the traffic loop, except {@link #load()}, {@link #admit} and the gauges, which
 * are thread safe.
 */
public final class OverloadMonitor implements ConnectionGate {

    /** Interval between samples, milliseconds. */
    private static final long SAMPLE_MILLIS = 50;

    /** Number of samples in which a load must persist. */
    private static final int SAMPLES = 4;

    private static final long LOG_INTERVAL_MILLIS = 1000;

    private static final Logger LOGGER = LogManager.getLogger(OverloadMonitor.class);

    private final TrafficLoop mLoop;

    private final ByteMeter mBytes;

    private final LoopDelay mDelay = new LoopDelay(SAMPLES);

    private final LinkUse mLink;

    private final LogThrottle mLogThrottle = new LogThrottle(LOG_INTERVAL_MILLIS);

    private final Counter mOpened;

    private volatile RouterLoad mLoad = RouterLoad.NONE;

    /**
     * Creates a monitor.
     *
     * @param bytes counts what this router receives and sends
     * @param linkMegabits the bandwidth of its link, Mbit/s
     */
    public OverloadMonitor(
            TrafficLoop loop, ByteMeter bytes, double linkMegabits, MetricRegistry metrics) {
        mLoop = loop;
        mBytes = bytes;
        mLink = new LinkUse(linkMegabits, SAMPLES);
        mOpened = metrics.counter("callers.opened");
        metrics.register("loop.delay.millis", (Gauge<Long>) () -> mLoad.delayMillis());
        metrics.register("link.used.percent", (Gauge<Long>) () -> Math.round(mLoad.link() * 100));
    }

    /** Starts to measure. */
    public void start() {
        mLoop.execute(this::scheduleSample);
    }

    /** {@inheritDoc} */
    @Override
    public boolean admit(Channel connection) {
        mBytes.install(connection);
        mOpened.inc();
        return true;
    }

    private void scheduleSample() {
        long due = mLoop.millis() + SAMPLE_MILLIS;
        mLoop.schedule(() -> sample(due), SAMPLE_MILLIS);
    }

    private void sample(long due) {
        long now = mLoop.millis();
        mDelay.record(now - due);
        mLink.record(new LinkUse.Sample(mBytes.received(), mBytes.sent(), now));
        mLoad = new RouterLoad(mDelay.persistentMillis(), mLink.part());
        if (mLoad.isExcessive() && mLogThrottle.tryAcquire(now)) {
            LOGGER.info(
                    "router overloaded loopDelayMillis={} linkPercent={} connectionsOpened={}",
                    mLoad.delayMillis(),
                    Math.round(mLoad.link() * 100),
                    mOpened.getCount());
        }
        scheduleSample();
    }

    /** Returns the load as of the last sample; thread safe. */
    public RouterLoad load() {
        return mLoad;
    }
}
