/**
 * Quarantine of requests that crash upstreams: by which traits such requests are recognized, what
 * is recorded of them, which traits explain the crashes, and which requests are withheld.
 */
package org.troutpier.daemon.quarantine;
