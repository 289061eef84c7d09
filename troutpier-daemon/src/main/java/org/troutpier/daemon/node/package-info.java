/** The threads, clock, counters, events and readiness of a router. */
package org.troutpier.daemon.node;
