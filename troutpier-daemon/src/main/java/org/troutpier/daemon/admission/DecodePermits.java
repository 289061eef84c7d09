package org.troutpier.daemon.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * Admission to the slots of decode engines, which several routers share. Implementations are
 * confined to the control thread. A wrong permit only costs goodput: an engine without a free slot
 * refuses the request as not started.
 */
public interface DecodePermits {

    /** Returns whether a slot is available now, so that {@link #acquire} may be called. */
    boolean isAvailable(UpstreamState decode);

    /** Acquires a slot of an engine. */
    void acquire(UpstreamState decode);

    /** Releases a slot of an engine. */
    void release(UpstreamState decode);

    /** Records that an engine refused a request for lack of capacity. */
    void onRefusal(UpstreamState decode);

    /**
     * Requests permits for waiting requests.
     *
     * @param decodes the engines, any of which will do
     * @param waiting number of waiting requests
     */
    void requestPermits(Iterable<UpstreamState> decodes, int waiting);

    /** Does not limit requests; a baseline for comparison. */
    enum Unlimited implements DecodePermits {
        /** The singleton. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean isAvailable(UpstreamState decode) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public void acquire(UpstreamState decode) {
            // no limit
        }

        /** {@inheritDoc} */
        @Override
        public void release(UpstreamState decode) {
            // no limit
        }

        /** {@inheritDoc} */
        @Override
        public void onRefusal(UpstreamState decode) {
            // no limit
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // no limit
        }
    }

    /** Divides the slots of every engine equally among the routers, with at least one slot each. */
    final class ForStaticDivision implements DecodePermits {

        private final IntSupplier mRouterCount;

        /** Number of slots of each engine that this router has acquired. */
        private final Map<UpstreamId, Integer> mAcquired = new HashMap<>();

        /**
         * Creates permits.
         *
         * @param routerCount returns the current number of routers
         */
        public ForStaticDivision(IntSupplier routerCount) {
            mRouterCount = routerCount;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isAvailable(UpstreamState decode) {
            int share = decode.declaration().slots() / Math.max(1, mRouterCount.getAsInt());
            return mAcquired.getOrDefault(decode.declaration().id(), 0) < Math.max(1, share);
        }

        /** {@inheritDoc} */
        @Override
        public void acquire(UpstreamState decode) {
            mAcquired.merge(decode.declaration().id(), 1, Integer::sum);
        }

        /** {@inheritDoc} */
        @Override
        public void release(UpstreamState decode) {
            mAcquired.merge(decode.declaration().id(), -1, Integer::sum);
        }

        /** {@inheritDoc} */
        @Override
        public void onRefusal(UpstreamState decode) {
            // the division is fixed
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // the division is fixed
        }
    }

    /**
     * Relies on the load that engines report, which lags behind, and treats an engine that refused
     * a request as full until its next report or until one of this router's requests there ends.
     */
    final class ForLaggingLoad implements DecodePermits {

        /** {@inheritDoc} */
        @Override
        public boolean isAvailable(UpstreamState decode) {
            return decode.estimatedRunning() < decode.declaration().slots();
        }

        /** {@inheritDoc} */
        @Override
        public void acquire(UpstreamState decode) {
            // UpstreamState counts the requests of this router
        }

        /** {@inheritDoc} */
        @Override
        public void release(UpstreamState decode) {
            // UpstreamState counts the requests of this router
        }

        /** {@inheritDoc} */
        @Override
        public void onRefusal(UpstreamState decode) {
            decode.recordLoad(Math.max(decode.declaration().slots(), decode.reportedRunning()), 0);
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // engines report their load without being asked for it
        }
    }
}
