/**
 * The arrivals of each request at the upstreams of its service, and the budget for those beyond the
 * first, which all routers share.
 */
package org.troutpier.daemon.extracall;
