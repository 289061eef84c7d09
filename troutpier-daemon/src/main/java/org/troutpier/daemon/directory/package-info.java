/** The upstreams that the platform lists, followed from a table's change feed. */
package org.troutpier.daemon.directory;
