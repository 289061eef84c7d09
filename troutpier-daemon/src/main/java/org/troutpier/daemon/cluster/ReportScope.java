package org.troutpier.daemon.cluster;

/** The routers whose load a report covers. */
public enum ReportScope {
    /** The sender. */
    OWN,
    /** A relay and the routers of its hall that report to it. */
    GROUP,
    /** All routers but the receiver, as known to the receiver's relay. */
    REST
}
