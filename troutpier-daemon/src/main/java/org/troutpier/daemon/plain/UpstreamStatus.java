package org.troutpier.daemon.plain;

/**
 * The state of one upstream, for operators. Immutable and thread safe.
 *
 * @param upstream the upstream
 * @param service its service
 * @param limit the most calls that it is to have in flight
 * @param calls the calls that it was known to have in flight
 * @param waiting the calls of its service that wait at this router
 * @param refused the calls of its service that this router refused so far
 * @param workMillis the mean work of a call of its service, milliseconds
 * @param cause what the limit is determined by
 */
public record UpstreamStatus(
        String upstream,
        String service,
        int limit,
        int calls,
        int waiting,
        long refused,
        double workMillis,
        String cause) {}
