package org.troutpier.daemon.waiting;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The recent requests for one service and of one urgency. Immutable and thread safe.
 *
 * @param service the service
 * @param rank the urgency; 0 is the most urgent
 * @param arrived what requests took that arrived in the last {@link
 *     RecentTraffic#ARRIVAL_WINDOW_MILLIS}, tokens
 * @param granted what requests were granted in the last {@link RecentTraffic#GRANT_WINDOW_MILLIS},
 *     tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ClassTraffic(String service, int rank, double arrived, double granted) {

    boolean hasSameClass(ClassTraffic other) {
        return rank == other.rank && service.equals(other.service);
    }

    ClassTraffic plus(ClassTraffic other) {
        return new ClassTraffic(service, rank, arrived + other.arrived, granted + other.granted);
    }
}
