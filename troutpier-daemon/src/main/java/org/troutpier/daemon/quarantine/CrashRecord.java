package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Check;

/**
 * Which upstreams ended while they worked on one request. Immutable and thread safe. Records of the
 * same request merge to the same whatever the order in which routers hear of them, so nobody has to
 * agree on anything: of two generations the later counts, within one the upstreams of both.
 *
 * @param generation how often the request was cleared
 * @param ended the upstreams that ended under it since, {@value #MOST_NAMED} at most
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashRecord(int generation, Set<UpstreamIncarnation> ended) {

    /** The record of a request of which nothing is known. */
    public static final CrashRecord NONE = new CrashRecord(0, Set.of());

    /** How many upstreams are named: several times as many as put a request into quarantine. */
    static final int MOST_NAMED = 16;

    /**
     * Checks the fields and sorts the upstreams, so that those that are kept are the same anywhere.
     */
    public CrashRecord {
        Check.range("generation", generation, 0, Integer.MAX_VALUE);
        SortedSet<UpstreamIncarnation> sorted = new TreeSet<>(Check.present("ended", ended));
        while (sorted.size() > MOST_NAMED) {
            sorted.remove(sorted.last());
        }
        ended = Collections.unmodifiableSortedSet(sorted);
    }

    /**
     * Returns the record with one more upstream.
     *
     * @param upstream the start that ended
     * @return the record; the same where it is named already
     */
    CrashRecord with(UpstreamIncarnation upstream) {
        return merge(new CrashRecord(generation, Set.of(upstream)));
    }

    /**
     * Returns what two routers know together.
     *
     * @param other the other record of the same request
     * @return the record
     */
    public CrashRecord merge(CrashRecord other) {
        if (generation != other.generation) {
            return generation > other.generation ? this : other;
        }
        Set<UpstreamIncarnation> both = new TreeSet<>(ended);
        both.addAll(other.ended);
        return new CrashRecord(generation, both);
    }

    /**
     * Returns the record of the request once it is cleared.
     *
     * @return a later generation under which nothing ended
     */
    CrashRecord cleared() {
        return new CrashRecord(generation + 1, Set.of());
    }
}
