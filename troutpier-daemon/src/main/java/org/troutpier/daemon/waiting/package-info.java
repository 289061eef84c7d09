/**
 * Requests that wait for capacity at upstreams: their order, and what the routers tell each other
 * of them. Classes here use neither the network nor any clock other than the time passed in.
 */
package org.troutpier.daemon.waiting;
