package org.troutpier.daemon.quarantine;

import java.util.function.DoubleSupplier;
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
     * Selects routers at random, each in proportion to its part of the requests, so that a router
     * that receives nearly all of them acts as soon as all routers together would. Confined to the
     * traffic loop.
     */
    final class ForManyRouters implements RouterShare {

        /** Clearings of one part by all routers together, on average. */
        private static final int CLEARINGS = 8;

        private final DoubleSupplier mRequestShare;

        private final RandomGenerator mRandom;

        /**
         * Creates an instance.
         *
         * @param requestShare the part of all requests that this router receives, above 0
         */
        public ForManyRouters(DoubleSupplier requestShare, RandomGenerator random) {
            mRequestShare = requestShare;
            mRandom = random;
        }

        /** {@inheritDoc} */
        @Override
        public boolean clears() {
            return mRandom.nextDouble() < CLEARINGS * mRequestShare.getAsDouble();
        }

        /** {@inheritDoc} */
        @Override
        public long drawDelay(long millis) {
            return (long) (mRandom.nextExponential() * millis / mRequestShare.getAsDouble());
        }
    }
}
