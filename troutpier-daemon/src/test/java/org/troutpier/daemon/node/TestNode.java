package org.troutpier.daemon.node;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;

/** Creates nodes without event loops and HTTP client. */
public final class TestNode {

    private static final int EVENTS = 16;

    private TestNode() {}

    /** Creates the node of a new start of a router, in an arbitrary hall. */
    public static Node of(String name, ControlExecutor control, LongSupplier nanos) {
        return of(Incarnation.create(new InstanceId(name)), new HallId("hall"), control, nanos);
    }

    /** Creates the node of a given start of a router in a given hall. */
    public static Node of(
            Incarnation incarnation, HallId hall, ControlExecutor control, LongSupplier nanos) {
        return new Node(
                incarnation,
                hall,
                null,
                control,
                null,
                new MetricRegistry(),
                new EventRing(incarnation.value(), EVENTS, new HybridClock()),
                nanos);
    }
}
