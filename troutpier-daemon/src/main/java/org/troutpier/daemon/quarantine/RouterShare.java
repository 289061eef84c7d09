package org.troutpier.daemon.quarantine;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Determines which routers do what each of them could do, so that only a few of them do it, without
 * any agreement between them. Implementations are confined to the traffic loop.
 */
public interface RouterShare {

    /**
     * Returns whether this router clears a part which another router suspects. All routers that
     * complete requests with it notice that at about the same time, and each clearing is announced
     * to all routers.
     */
    boolean clears();

    /**
     * Draws how long this router waits, so that of all routers together one acts in a given time on
     * average.
     *
     * @param millis the mean time until the first router acts, milliseconds
     * @return milliseconds
     */
    long drawDelay(long millis);

    /** Lets this router do everything. Immutable and thread safe. */
    enum ForFewRouters implements RouterShare {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean clears() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public long drawDelay(long millis) {
            return millis;
        }
    }

    /**
     * Selects about {@value #CLEARING_ROUTERS} of the routers for each clearing, at random.
     * Confined to the traffic loop.
     */
    final class ForManyRouters implements RouterShare {

        private static final int CLEARING_ROUTERS = 8;

        private final IntSupplier mRouterCount;

        private final RandomGenerator mRandom;

        /**
         * Creates an instance.
         *
         * @param routerCount the number of routers, this one included
         */
        public ForManyRouters(IntSupplier routerCount, RandomGenerator random) {
            mRouterCount = routerCount;
            mRandom = random;
        }

        /** {@inheritDoc} */
        @Override
        public boolean clears() {
            return mRandom.nextDouble() * mRouterCount.getAsInt() < CLEARING_ROUTERS;
        }

        /** {@inheritDoc} */
        @Override
        public long drawDelay(long millis) {
            return (long) (mRandom.nextExponential() * millis * mRouterCount.getAsInt());
        }
    }
}
