package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Check;

/**
 * The upstreams that crashed while they worked on requests with one trait. Immutable and thread
 * safe. Records of the same trait can be merged in any order with the same result, so routers need
 * no agreement: of two generations the later one wins, within one generation the upstreams are
 * united.
 *
 * @param generation how often the trait was cleared
 * @param ended the upstreams that crashed since it was last cleared, at most {@value
 *     #MAX_UPSTREAMS}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CrashRecord(int generation, Set<UpstreamIncarnation> ended) {

    /** The record of a trait without any crash. */
    public static final CrashRecord NONE = new CrashRecord(0, Set.of());

    /** Maximum number of upstreams in a record: several times as many as quarantine a trait. */
    static final int MAX_UPSTREAMS = 16;

    /** Validates the components and sorts the upstreams, so that all routers keep the same ones. */
    public CrashRecord {
        Check.range("generation", generation, 0, Integer.MAX_VALUE);
        SortedSet<UpstreamIncarnation> sorted = new TreeSet<>(Check.present("ended", ended));
        while (sorted.size() > MAX_UPSTREAMS) {
            sorted.remove(sorted.last());
        }
        ended = Collections.unmodifiableSortedSet(sorted);
    }

    /**
     * Returns the record with another upstream.
     *
     * @return the record; an equal one if it contains the upstream already
     */
    CrashRecord with(UpstreamIncarnation upstream) {
        return merge(new CrashRecord(generation, Set.of(upstream)));
    }

    /** Merges the records that two routers have of the same trait. */
    public CrashRecord merge(CrashRecord other) {
        if (generation != other.generation) {
            return generation > other.generation ? this : other;
        }
        Set<UpstreamIncarnation> both = new TreeSet<>(ended);
        both.addAll(other.ended);
        return new CrashRecord(generation, both);
    }

    /** Returns the record after the trait is cleared: a later generation without any crash. */
    CrashRecord cleared() {
        return new CrashRecord(generation + 1, Set.of());
    }
}
