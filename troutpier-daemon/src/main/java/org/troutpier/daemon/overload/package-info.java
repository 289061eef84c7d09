/**
 * Overload of this router itself, as opposed to that of upstreams: what its event loop and its link
 * bear, and which new connections it therefore closes. Classes here use neither the network nor any
 * clock other than the time passed in, except {@link
 * org.troutpier.daemon.overload.OverloadMonitor}.
 */
package org.troutpier.daemon.overload;
