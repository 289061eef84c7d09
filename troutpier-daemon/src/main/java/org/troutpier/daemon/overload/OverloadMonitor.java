package org.troutpier.daemon.overload;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.ConnectionGate;
import org.troutpier.common.http.ConnectionMeter;
import org.troutpier.common.logging.LogThrottle;
import org.troutpier.daemon.serving.TrafficLoop;

/**
 * Measures the load of this router itself, and closes a part of the new connections while it is too
 * high and other routers have room. Confined to the traffic loop, which is also that of callers'
 * connections, except {@link #isOverloaded()} and the gauges, which are thread safe. Invariant: a
 * connection is closed before anything is read from it, never with a request in progress.
 */
public final class OverloadMonitor implements ConnectionGate {

    /** Interval between samples, milliseconds. */
    private static final long SAMPLE_MILLIS = 50;

    /** Number of samples in which a load must persist. */
    private static final int SAMPLES = 4;

    private static final long LOG_INTERVAL_MILLIS = 1000;

    private static final Logger LOGGER = LogManager.getLogger(OverloadMonitor.class);

    private final TrafficLoop mLoop;

    private final ConnectionMeter mMeter;

    private final BooleanSupplier mRoomElsewhere;

    private final LoopDelay mLoopDelay = new LoopDelay(SAMPLES);

    private final ConnectDelay mConnectDelay = new ConnectDelay(SAMPLES);

    private final LinkUse mLink;

    private final AdmittedShare mShare = new AdmittedShare();

    private final LogThrottle mLogThrottle = new LogThrottle(LOG_INTERVAL_MILLIS);

    private final Counter mOpened;

    private final Counter mClosed;

    private volatile RouterLoad mLoad = RouterLoad.NONE;

    /** Whether some new connections are closed. */
    private volatile boolean mRestricting;

    /**
     * Creates a monitor.
     *
     * @param meter measures the connections of callers and to upstreams
     * @param linkMegabits the bandwidth of its link, Mbit/s
     * @param roomElsewhere whether most of the other routers are not overloaded
     */
    public OverloadMonitor(
            TrafficLoop loop,
            ConnectionMeter meter,
            double linkMegabits,
            BooleanSupplier roomElsewhere,
            MetricRegistry metrics) {
        mRoomElsewhere = roomElsewhere;
        mLoop = loop;
        mMeter = meter;
        mLink = new LinkUse(linkMegabits, SAMPLES);
        mOpened = metrics.counter("callers.opened");
        mClosed = metrics.counter("callers.closed-unread");
        metrics.register("loop.delay.millis", (Gauge<Long>) () -> mLoad.loopMillis());
        metrics.register("connect.delay.millis", (Gauge<Long>) () -> mLoad.connectMillis());
        metrics.register("link.used.percent", (Gauge<Long>) () -> Math.round(mLoad.link() * 100));
    }

    /** Starts to measure. */
    public void start() {
        mLoop.execute(this::scheduleSample);
    }

    /** {@inheritDoc} */
    @Override
    public boolean admit(Channel connection) {
        mOpened.inc();
        if (!mShare.admitNext()) {
            mClosed.inc();
            return false;
        }
        mMeter.install(connection);
        return true;
    }

    private void scheduleSample() {
        long due = mLoop.millis() + SAMPLE_MILLIS;
        mLoop.schedule(() -> sample(due), SAMPLE_MILLIS);
    }

    private void sample(long due) {
        long now = mLoop.millis();
        mLoopDelay.record(now - due);
        mLink.record(new LinkUse.Sample(mMeter.received(), mMeter.sent(), now));
        mConnectDelay.record(mMeter.takeConnectNanos());
        mLoad = new RouterLoad(mLoopDelay.persistentMillis(), mConnectDelay.millis(), mLink.part());
        mShare.update(mLoad, mRoomElsewhere.getAsBoolean());
        mRestricting = mShare.value() < 1;
        if (mLoad.isExcessive() && mLogThrottle.tryAcquire(now)) {
            LOGGER.info(
                    "router overloaded loopDelayMillis={} connectDelayMillis={} linkPercent={}"
                            + " admittedPercent={} opened={} closedUnread={}",
                    mLoad.loopMillis(),
                    mLoad.connectMillis(),
                    Math.round(mLoad.link() * 100),
                    Math.round(mShare.value() * 100),
                    mOpened.getCount(),
                    mClosed.getCount());
        }
        scheduleSample();
    }

    /** Returns whether this router is overloaded or recently was; thread safe. */
    public boolean isOverloaded() {
        return mLoad.isExcessive() || mRestricting;
    }
}
