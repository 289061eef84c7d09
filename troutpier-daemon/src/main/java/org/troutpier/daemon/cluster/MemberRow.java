package org.troutpier.daemon.cluster;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.settings.Check;

/**
 * What a router's row in the table of routers says. Immutable and thread safe.
 *
 * @param instance the instance's name
 * @param incarnation its latest start
 * @param peer where the other routers reach it
 * @param hall the hall that it stands in
 * @param capacity how much it can do for the others, in points of {@link RouterCapacity}
 */
public record MemberRow(
        String instance, String incarnation, String peer, String hall, int capacity) {

    /**
     * Checks the fields, since another writer may have left the row.
     *
     * @throws IllegalArgumentException if one of them names nothing
     */
    public MemberRow {
        InstanceId named = new InstanceId(instance);
        Check.that(
                "incarnation",
                new Incarnation(incarnation).instance().equals(named),
                "must be a start of " + named + " but is " + incarnation);
        Check.that("peer", Address.parse(peer).port() > 0, "must have a port but is " + peer);
        Check.present("hall", new HallId(hall).value());
        Check.range("capacity", capacity, 0, Integer.MAX_VALUE);
    }
}
