/**
 * Quarantine of requests that crash upstreams: how such a request is recognised, what is recorded
 * of it, and when it is no longer run.
 */
package org.troutpier.daemon.quarantine;
