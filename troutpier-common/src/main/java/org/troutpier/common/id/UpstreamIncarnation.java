package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one run of an upstream: an upstream may restart under the same id, and then has
 * lost all state of its previous run. Immutable and safe to share between threads. Runs of the same
 * upstream are ordered by the upstream's own clock, which is never compared with another clock.
 *
 * @param id the upstream
 * @param startMillis start time by its own clock, milliseconds; {@link #UNKNOWN} if it was not
 *     reported
 */
public record UpstreamIncarnation(UpstreamId id, long startMillis)
        implements Comparable<UpstreamIncarnation> {

    /** The start time of an upstream that did not report one. */
    public static final long UNKNOWN = 0;

    /** Separates the id from the start time; no identifier contains it. */
    private static final char SEPARATOR = '~';

    /**
     * Radix in which the start time is written: the largest, for a short text, since each load
     * report has it.
     */
    private static final int RADIX = Character.MAX_RADIX;

    /** Checks the start time. */
    public UpstreamIncarnation {
        if (startMillis < 0) {
            throw new IllegalArgumentException("not a start: " + startMillis);
        }
    }

    /**
     * Parses an incarnation.
     *
     * @param text {@code id}, or {@code id~start}
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static UpstreamIncarnation of(String text) {
        int end = text.indexOf(SEPARATOR);
        return end < 0
                ? new UpstreamIncarnation(new UpstreamId(text), UNKNOWN)
                : new UpstreamIncarnation(
                        new UpstreamId(text.substring(0, end)),
                        Long.parseLong(text.substring(end + 1), RADIX));
    }

    /**
     * Returns whether this run began after another run of the same upstream. An unknown start time
     * is no evidence of a restart.
     *
     * @return whether this one is known to be later
     */
    public boolean startedAfter(UpstreamIncarnation other) {
        return id.equals(other.id)
                && other.startMillis != UNKNOWN
                && startMillis > other.startMillis;
    }

    /**
     * Returns whether this may be the same run as another, as far as both start times are known.
     *
     * @return whether the upstream is the same and the known start times do not differ
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
                : id.value() + SEPARATOR + Long.toString(startMillis, RADIX);
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamIncarnation that
                && id.equals(that.id)
                && startMillis == that.startMillis;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(startMillis);
    }
}
