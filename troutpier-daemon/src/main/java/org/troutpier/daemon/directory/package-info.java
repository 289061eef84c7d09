/** The upstreams that the platform lists, kept up to date from a table's change feed. */
package org.troutpier.daemon.directory;
