/**
 * Serves requests by route: admission, attempts at upstreams, retries, streams, graceful shutdown.
 */
package org.troutpier.daemon.serving;
