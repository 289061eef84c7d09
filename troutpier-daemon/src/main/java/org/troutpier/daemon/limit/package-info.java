/**
 * Limits that all routers enforce together: meters of the recent usage and demand at one router,
 * and the remaining headroom given the usage that the other routers report.
 */
package org.troutpier.daemon.limit;
