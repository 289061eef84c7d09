package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.random.RandomGenerator;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.plain.FleetView;
import org.troutpier.daemon.plain.PlainCalls;
import org.troutpier.daemon.plain.Schedule;

/** Creates the placement of plain calls for tests, on a manual clock. */
final class TestPlainCalls {

    private TestPlainCalls() {}

    static PlainCalls on(
            ManualClock time,
            UpstreamLoads loads,
            PeerLoads peers,
            RandomGenerator random,
            int routers) {
        TrafficLoop loop = time.loop();
        Schedule schedule =
                new Schedule() {
                    @Override
                    public long millis() {
                        return loop.millis();
                    }

                    @Override
                    public void runFresh(Runnable action, long millis) {
                        loop.schedule(action, millis);
                    }
                };
        return new PlainCalls(
                schedule,
                new FleetView(loads::calls, peers, () -> routers),
                random,
                new MetricRegistry());
    }
}
