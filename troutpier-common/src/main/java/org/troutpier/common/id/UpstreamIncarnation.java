package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one start of an upstream: an upstream may start again under the id that it had, and then
 * holds and knows nothing of before. Immutable and safe to share between threads. Starts of the
 * same upstream compare by the upstream's own clock, which is compared with no other.
 *
 * @param id the upstream
 * @param startMillis when it started, milliseconds by its own clock; {@link #UNKNOWN} where it has
 *     not said so
 */
public record UpstreamIncarnation(UpstreamId id, long startMillis)
        implements Comparable<UpstreamIncarnation> {

    /** The start of an upstream that has not said when it started. */
    public static final long UNKNOWN = 0;

    /** Parts the id from the start; no id has it. */
    private static final char SEPARATOR = '~';

    /** The base in which the start is written: short, since it travels with each report of load. */
    private static final int BASE = Character.MAX_RADIX;

    /**
     * Checks the start.
     *
     * @param id the upstream
     * @param startMillis when it started
     */
    public UpstreamIncarnation {
        if (startMillis < 0) {
            throw new IllegalArgumentException("not a start: " + startMillis);
        }
    }

    /**
     * Reads an incarnation.
     *
     * @param text {@code id}, or {@code id~start}
     * @return the incarnation
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static UpstreamIncarnation of(String text) {
        int end = text.indexOf(SEPARATOR);
        return end < 0
                ? new UpstreamIncarnation(new UpstreamId(text), UNKNOWN)
                : new UpstreamIncarnation(
                        new UpstreamId(text.substring(0, end)),
                        Long.parseLong(text.substring(end + 1), BASE));
    }

    /**
     * Returns whether this upstream has started again since another of its starts. A start that is
     * not known is no news of a restart.
     *
     * @param other the other start
     * @return whether this one is known to be later
     */
    public boolean startedAfter(UpstreamIncarnation other) {
        return id.equals(other.id)
                && other.startMillis != UNKNOWN
                && startMillis > other.startMillis;
    }

    /**
     * Returns whether this may be the same start as another one, as far as both are known.
     *
     * @param other the other start
     * @return whether the upstream is the same and the starts do not differ
     */
    public boolean mayEqual(UpstreamIncarnation other) {
        return id.equals(other.id)
                && (startMillis == other.startMillis
                        || startMillis == UNKNOWN
                        || other.startMillis == UNKNOWN);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(UpstreamIncarnation other) {
        int byId = id.compareTo(other.id);
        return byId != 0 ? byId : Long.compare(startMillis, other.startMillis);
    }

    /** {@inheritDoc} */
    @Override
    @JsonValue
    public String toString() {
        return startMillis == UNKNOWN
                ? id.value()
                : id.value() + SEPARATOR + Long.toString(startMillis, BASE);
    }
}
