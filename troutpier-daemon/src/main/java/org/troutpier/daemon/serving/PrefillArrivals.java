package org.troutpier.daemon.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import org.troutpier.daemon.extracall.RequestArrivals;

/**
 * The prefills that were sent for one result, until it is known which of them count as calls of
 * their request. Confined to the traffic loop. Invariants: at most one is left out of the count,
 * once one is completed; it is the one that was sent last, whose permit the run takes over, since
 * the first one of a request holds none.
 */
final class PrefillArrivals {

    private final Deque<RequestArrivals.Arrival> mOpen = new ArrayDeque<>();

    /** Adds a prefill that is sent now. */
    void add(RequestArrivals.Arrival arrival) {
        mOpen.addLast(arrival);
    }

    /** Records that no byte of a prefill has arrived. */
    void recordUnreached(RequestArrivals.Arrival arrival) {
        mOpen.remove(arrival);
        arrival.recordUnreached();
    }

    /** Records that one of the prefills was completed. */
    void recordCompletion() {
        mOpen.removeLast().recordPrefilled();
    }

    /** Records that all other prefills may have arrived. */
    void recordArrived() {
        mOpen.forEach(RequestArrivals.Arrival::recordArrived);
        mOpen.clear();
    }
}
