package org.troutpier.daemon.resume;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.troutpier.common.collection.ExpiringMap;
import org.troutpier.common.id.RequestId;

/**
 * The origins of streams by the attempt that brought their first event. Confined to the control
 * thread. Invariants: size and age are bounded, the oldest record goes first; an attempt for which
 * two origins were recorded has none.
 */
final class OriginRecords {

    /** Maximum number of records; each takes 156 bytes. */
    static final int MAX_RECORDS = 20_000;

    /** How long a record is kept, milliseconds; no caller waits for a stream that long. */
    static final long RETENTION_MILLIS = 600_000;

    /** Number of different origins from which on they are no longer shared between records. */
    private static final int MAX_SHARED = 1000;

    private final ExpiringMap<RequestId, Optional<StreamOrigin>> mRecords =
            new ExpiringMap<>(MAX_RECORDS, RETENTION_MILLIS);

    /** The values of records, so that equal ones are one object. */
    private final Map<StreamOrigin, Optional<StreamOrigin>> mShared = new HashMap<>();

    /**
     * Records an origin. A record of the same origin is kept for longer.
     *
     * @param now the monotonic clock, milliseconds
     */
    void put(RequestId attempt, StreamOrigin origin, long now) {
        if (mShared.size() > MAX_SHARED) {
            mShared.clear();
        }
        Optional<StreamOrigin> value = mShared.computeIfAbsent(origin, Optional::of);
        boolean conflict =
                mRecords.get(attempt, now).filter(known -> !known.equals(value)).isPresent();
        mRecords.put(attempt, conflict ? Optional.empty() : value, now);
    }

    /**
     * Returns the origin of the stream that an attempt began, if it is known.
     *
     * @param now the monotonic clock, milliseconds
     */
    Optional<StreamOrigin> find(RequestId attempt, long now) {
        return mRecords.get(attempt, now).flatMap(origin -> origin);
    }
}
