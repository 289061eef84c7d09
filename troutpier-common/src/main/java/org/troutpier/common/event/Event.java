package org.troutpier.common.event;

/**
 * One thing that happened in one process. Immutable and thread safe.
 *
 * @param stamp when, by the {@link HybridClock}
 * @param process the process it happened in
 * @param kind what happened, in lower case with dashes
 * @param subject the request, change or upstream it is about
 * @param detail what else is worth knowing; empty for nothing
 */
public record Event(long stamp, String process, String kind, String subject, String detail) {}
