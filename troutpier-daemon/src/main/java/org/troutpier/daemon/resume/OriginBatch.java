package org.troutpier.daemon.resume;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;

/**
 * The origins of several streams, as they are stored in one row. Immutable and thread safe.
 *
 * @param groups the attempts by origin
 */
public record OriginBatch(List<Group> groups) {

    /** Copies the groups. */
    public OriginBatch {
        groups = List.copyOf(groups);
    }

    /**
     * The attempts that began streams at one version. Immutable and thread safe.
     *
     * @param attempts the ids of the attempts
     */
    public record Group(String service, String version, List<String> attempts) {

        /** Copies the attempts. */
        public Group {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * A stream that has begun. Immutable and thread safe.
     *
     * @param at when it began, milliseconds on the monotonic clock
     */
    public record Begun(RequestId attempt, StreamOrigin origin, long at) {}

    /** Returns the batch of several streams. */
    public static OriginBatch of(Collection<Begun> streams) {
        Map<StreamOrigin, List<String>> attempts = new LinkedHashMap<>();
        for (Begun stream : streams) {
            attempts.computeIfAbsent(stream.origin(), each -> new ArrayList<>())
                    .add(stream.attempt().value());
        }
        List<Group> groups = new ArrayList<>();
        attempts.forEach(
                (origin, ids) ->
                        groups.add(new Group(origin.service(), origin.version().value(), ids)));
        return new OriginBatch(groups);
    }

    /** Adds the origins of the batch to others, by attempt. */
    public void addTo(Map<String, StreamOrigin> origins) {
        for (Group group : groups) {
            StreamOrigin origin =
                    new StreamOrigin(group.service(), new SoftwareVersion(group.version()));
            group.attempts().forEach(attempt -> origins.put(attempt, origin));
        }
    }
}
