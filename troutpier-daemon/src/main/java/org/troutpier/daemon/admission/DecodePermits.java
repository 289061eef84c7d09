package org.troutpier.daemon.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * How the slots of decode engines are shared among routers. Implementations are confined to the
 * control thread. A permit that is wrong costs goodput only: the engine refuses what it has no room
 * for, as not started.
 */
public interface DecodePermits {

    /**
     * Returns whether a slot could be taken now.
     *
     * @param decode the engine
     * @return whether {@link #acquire} may be called
     */
    boolean isAvailable(UpstreamState decode);

    /**
     * Takes a slot.
     *
     * @param decode the engine
     */
    void acquire(UpstreamState decode);

    /**
     * Gives a slot back.
     *
     * @param decode the engine
     */
    void release(UpstreamState decode);

    /**
     * Takes note that an engine had no room after all.
     *
     * @param decode the engine
     */
    void onRefusal(UpstreamState decode);

    /**
     * Takes note that a request waits for any of these engines.
     *
     * @param decodes the engines
     * @param waiting how many requests wait
     */
    void requestPermits(Iterable<UpstreamState> decodes, int waiting);

    /** Reserves nothing: a baseline. */
    enum Unlimited implements DecodePermits {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean isAvailable(UpstreamState decode) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public void acquire(UpstreamState decode) {
            // nothing is reserved
        }

        /** {@inheritDoc} */
        @Override
        public void release(UpstreamState decode) {
            // nothing is reserved
        }

        /** {@inheritDoc} */
        @Override
        public void onRefusal(UpstreamState decode) {
            // nothing is learned
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // nothing is asked for
        }
    }

    /** Gives each router the same fixed part of every engine, at least one slot. */
    final class ForStaticDivision implements DecodePermits {

        /** How many routers there are. */
        private final IntSupplier mRouterCount;

        /** How many slots of each engine this router has taken. */
        private final Map<UpstreamId, Integer> mAcquired = new HashMap<>();

        /**
         * Creates permits.
         *
         * @param routers how many routers there are
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
            // the division stays as it is
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // the division stays as it is
        }
    }

    /** Goes by the lagging load that engines publish, and waits a little after a refusal. */
    final class ForLaggingLoad implements DecodePermits {

        /** {@inheritDoc} */
        @Override
        public boolean isAvailable(UpstreamState decode) {
            return decode.estimatedRunning() < decode.declaration().slots();
        }

        /** {@inheritDoc} */
        @Override
        public void acquire(UpstreamState decode) {
            // the count of this router's own requests moves with the request
        }

        /** {@inheritDoc} */
        @Override
        public void release(UpstreamState decode) {
            // the count of this router's own requests moves with the request
        }

        /** {@inheritDoc} */
        @Override
        public void onRefusal(UpstreamState decode) {
            decode.recordLoad(Math.max(decode.declaration().slots(), decode.reportedRunning()), 0);
        }

        /** {@inheritDoc} */
        @Override
        public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
            // the load comes by itself
        }
    }
}
