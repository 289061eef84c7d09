/**
 * Streams that callers resume: what began each of them, who knows it, and whether it may go on. The
 * software versions of a service's upstreams write events that do not fit together, so a stream
 * goes on only at the version that began it.
 */
package org.troutpier.daemon.resume;
