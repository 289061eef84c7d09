/** Serves requests by route: admission, attempts at upstreams, retries, streams, planned stops. */
package org.troutpier.daemon.serving;
