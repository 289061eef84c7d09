/** What routers that serve the same upstreams tell each other: load, demand, configurations. */
package org.troutpier.daemon.cluster;
