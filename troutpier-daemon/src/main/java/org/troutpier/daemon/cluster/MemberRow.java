package org.troutpier.daemon.cluster;

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
        String instance, String incarnation, String peer, String hall, int capacity) {}
