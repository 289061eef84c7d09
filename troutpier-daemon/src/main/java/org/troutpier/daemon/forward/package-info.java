/**
 * Paths to upstreams: directly, or forwarded by another router where this router is partitioned
 * from an upstream that others reach.
 */
package org.troutpier.daemon.forward;
