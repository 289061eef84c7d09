package org.troutpier.daemon.node;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;

/** Makes routers' nodes that neither serve nor call anybody. */
public final class TestNode {

    /** How many events each keeps. */
    private static final int EVENTS = 16;

    private TestNode() {}

    /** A start of a router, in a hall that does not matter. */
    public static Node of(String name, Control control, LongSupplier nanos) {
        return of(Incarnation.create(new InstanceId(name)), new HallId("hall"), control, nanos);
    }

    /** A known start of a router in a hall. */
    public static Node of(
            Incarnation incarnation, HallId hall, Control control, LongSupplier nanos) {
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
