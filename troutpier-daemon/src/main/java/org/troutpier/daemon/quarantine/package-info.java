/**
 * Requests under which upstreams end: how one is known again, what is known of it, and when it is
 * no longer run.
 */
package org.troutpier.daemon.quarantine;
