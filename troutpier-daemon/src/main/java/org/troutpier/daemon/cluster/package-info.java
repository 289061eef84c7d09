/**
 * Exchange of load, demand, configurations and table pages between routers that serve the same
 * upstreams.
 */
package org.troutpier.daemon.cluster;
