package org.troutpier.common.event;

/**
 * An event in one process, for the time line. Immutable and thread safe.
 *
 * @param stamp time stamp of the {@link HybridClock}
 * @param process the process in which it happened
 * @param kind what happened, in lower case with dashes
 * @param subject the request, change or upstream it is about
 * @param detail further details; empty for none
 */
public record Event(long stamp, String process, String kind, String subject, String detail) {}
