package org.troutpier.daemon.cluster;

/** Whose load a report tells of. */
public enum ReportScope {
    /** The sender's own. */
    OWN,
    /** That of a relay and the routers of its hall that report to it. */
    GROUP,
    /** That of all routers but the receiver, as the receiver's relay knows it. */
    REST
}
