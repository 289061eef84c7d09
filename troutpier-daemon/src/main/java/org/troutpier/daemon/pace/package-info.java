/**
 * The pace of upstreams relative to the others of their service, as measured by all routers.
 * Classes here use neither the network nor any clock other than the time passed in.
 */
package org.troutpier.daemon.pace;
