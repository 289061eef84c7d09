/**
 * Requests that wait for capacity at upstreams: their order, and what the routers report to each
 * other. Classes here use neither the network nor any clock other than the time passed in.
 */
package org.troutpier.daemon.waiting;
