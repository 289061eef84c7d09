package org.troutpier.daemon.waiting;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/**
 * Decides which of the requests that compete for engine memory may take it. Implementations are
 * confined to the traffic loop.
 */
public interface WaitingOrder {

    /** Each router orders its own requests, and reports none. */
    WaitingOrder ALONE = new Alone(false);

    /**
     * Returns whether one order holds over all routers, in which more urgent requests precede less
     * urgent ones.
     */
    boolean isShared();

    /** Returns whether waiting requests are reported to the other routers. */
    boolean reportsWaiting();

    /** Records a request that starts to search for memory. */
    void recordArrival(WaitingRequest request, long now);

    /** Records a request that was granted memory. */
    void recordGrant(WaitingRequest request, long now);

    /** Records a request that was refused, or that ended while it waited. */
    void recordEnd(WaitingRequest request, boolean refused);

    /** Records that a request left free memory to others. */
    void recordHeldBack(WaitingRequest request);

    /** Returns whether the first request is served before the second. */
    boolean precedes(WaitingRequest first, WaitingRequest second, long now);

    /**
     * Returns what is served before a request, so that it leaves memory free.
     *
     * @param runs the runs in progress at all engines of the service
     */
    Preceding preceding(WaitingRequest request, int runs, long now);

    /**
     * Returns waiting items in the order in which they are served.
     *
     * @param items the items in the order of the queue
     * @param <T> the items' type
     */
    <T> List<T> arrange(List<T> items, Function<T, WaitingRequest> request, long now);

    /** Returns the report to the other routers. */
    WaitingReport report(Collection<WaitingRequest> waiting, long now);

    /** Returns a request's place in the order, for a refusal's detail. */
    String describe(WaitingRequest request, long now);

    /**
     * The order of a router that decides alone. Immutable and thread safe.
     *
     * @param reportsWaiting whether waiting requests are reported to the other routers
     */
    record Alone(boolean reportsWaiting) implements WaitingOrder {

        /** {@inheritDoc} */
        @Override
        public boolean isShared() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public void recordArrival(WaitingRequest request, long now) {}

        /** {@inheritDoc} */
        @Override
        public void recordGrant(WaitingRequest request, long now) {}

        /** {@inheritDoc} */
        @Override
        public void recordEnd(WaitingRequest request, boolean refused) {}

        /** {@inheritDoc} */
        @Override
        public void recordHeldBack(WaitingRequest request) {}

        /** {@inheritDoc} */
        @Override
        public boolean precedes(WaitingRequest first, WaitingRequest second, long now) {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public Preceding preceding(WaitingRequest request, int runs, long now) {
            return Preceding.NONE;
        }

        /** {@inheritDoc} */
        @Override
        public <T> List<T> arrange(List<T> items, Function<T, WaitingRequest> request, long now) {
            return items;
        }

        /** {@inheritDoc} */
        @Override
        public WaitingReport report(Collection<WaitingRequest> waiting, long now) {
            return waiting.isEmpty()
                    ? WaitingReport.NONE
                    : new WaitingReport(WaitingReport.entriesOf(waiting, now), null, 0);
        }

        /** {@inheritDoc} */
        @Override
        public String describe(WaitingRequest request, long now) {
            return "";
        }
    }
}
