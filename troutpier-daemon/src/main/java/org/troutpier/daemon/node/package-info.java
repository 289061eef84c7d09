/** The threads, clock, metrics, events and readiness of a router. */
package org.troutpier.daemon.node;
