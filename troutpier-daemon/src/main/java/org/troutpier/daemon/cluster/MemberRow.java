package org.troutpier.daemon.cluster;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;

/**
 * A router's row in the table of routers. Immutable and thread safe.
 *
 * @param instance the instance's name
 * @param incarnation its latest start
 * @param peer the address at which the other routers reach it
 * @param hall the hall that it is in
 * @param capacity its capacity in points of {@link RouterCapacity}
 */
public record MemberRow(
        String instance, String incarnation, String peer, String hall, int capacity) {

    /**
     * Validates the fields, since the row may come from another writer.
     *
     * @throws IllegalArgumentException if a field is invalid
     */
    public MemberRow {
        InstanceId owner = new InstanceId(instance);
        Check.that(
                "incarnation",
                new Incarnation(incarnation).instance().equals(owner),
                "must be a start of " + owner + " but is " + incarnation);
        Check.that("peer", Address.parse(peer).port() > 0, "must have a port but is " + peer);
        Check.present("hall", new HallId(hall).value());
        Check.range("capacity", capacity, 0, Integer.MAX_VALUE);
    }
}
