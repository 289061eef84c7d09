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
     * @return whether {@link #take} may be called
     */
    boolean available(UpstreamState decode);

    /**
     * Takes a slot.
     *
     * @param decode the engine
     */
    void take(UpstreamState decode);

    /**
     * Gives a slot back.
     *
     * @param decode the engine
     */
    void giveBack(UpstreamState decode);

    /**
     * Takes note that an engine had no room after all.
     *
     * @param decode the engine
     */
    void refusedBy(UpstreamState decode);

    /**
     * Takes note that a request waits for any of these engines.
     *
     * @param decodes the engines
     * @param waiting how many requests wait
     */
    void wanted(Iterable<UpstreamState> decodes, int waiting);

    /** Reserves nothing: a baseline. */
    enum Unlimited implements DecodePermits {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean available(UpstreamState decode) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public void take(UpstreamState decode) {
            // nothing is reserved
        }

        /** {@inheritDoc} */
        @Override
        public void giveBack(UpstreamState decode) {
            // nothing is reserved
        }

        /** {@inheritDoc} */
        @Override
        public void refusedBy(UpstreamState decode) {
            // nothing is learned
        }

        /** {@inheritDoc} */
        @Override
        public void wanted(Iterable<UpstreamState> decodes, int waiting) {
            // nothing is asked for
        }
    }

    /** Gives each router the same fixed part of every engine, at least one slot. */
    final class ForStaticDivision implements DecodePermits {

        /** How many routers there are. */
        private final IntSupplier mRouters;

        /** How many slots of each engine this router has taken. */
        private final Map<UpstreamId, Integer> mTaken = new HashMap<>();

        /**
         * Creates permits.
         *
         * @param routers how many routers there are
         */
        public ForStaticDivision(IntSupplier routers) {
            mRouters = routers;
        }

        /** {@inheritDoc} */
        @Override
        public boolean available(UpstreamState decode) {
            int part = decode.declaration().slots() / Math.max(1, mRouters.getAsInt());
            return mTaken.getOrDefault(decode.declaration().id(), 0) < Math.max(1, part);
        }

        /** {@inheritDoc} */
        @Override
        public void take(UpstreamState decode) {
            mTaken.merge(decode.declaration().id(), 1, Integer::sum);
        }

        /** {@inheritDoc} */
        @Override
        public void giveBack(UpstreamState decode) {
            mTaken.merge(decode.declaration().id(), -1, Integer::sum);
        }

        /** {@inheritDoc} */
        @Override
        public void refusedBy(UpstreamState decode) {
            // the division stays as it is
        }

        /** {@inheritDoc} */
        @Override
        public void wanted(Iterable<UpstreamState> decodes, int waiting) {
            // the division stays as it is
        }
    }

    /** Goes by the lagging load that engines publish, and waits a little after a refusal. */
    final class ForLaggingLoad implements DecodePermits {

        /** {@inheritDoc} */
        @Override
        public boolean available(UpstreamState decode) {
            return decode.estimatedRunning() < decode.declaration().slots();
        }

        /** {@inheritDoc} */
        @Override
        public void take(UpstreamState decode) {
            // the count of this router's own requests moves with the request
        }

        /** {@inheritDoc} */
        @Override
        public void giveBack(UpstreamState decode) {
            // the count of this router's own requests moves with the request
        }

        /** {@inheritDoc} */
        @Override
        public void refusedBy(UpstreamState decode) {
            decode.recordLoad(Math.max(decode.declaration().slots(), decode.reportedRunning()), 0);
        }

        /** {@inheritDoc} */
        @Override
        public void wanted(Iterable<UpstreamState> decodes, int waiting) {
            // the load comes by itself
        }
    }
}
