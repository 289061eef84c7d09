/** What every part of a router shares: threads, clock, counters, events, readiness. */
package org.troutpier.daemon.node;
