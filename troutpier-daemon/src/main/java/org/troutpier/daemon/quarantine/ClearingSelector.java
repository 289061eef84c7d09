package org.troutpier.daemon.quarantine;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Selects the routers that clear a part which another router suspects. All routers that complete
 * requests with it notice that at about the same time, and each clearing is announced to all
 * routers. Implementations are confined to the traffic loop.
 */
public interface ClearingSelector {

    /** Returns whether this router clears the part now. */
    boolean isSelected();

    /** Always selects this router. Immutable and thread safe. */
    enum ForFewRouters implements ClearingSelector {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean isSelected() {
            return true;
        }
    }

    /**
     * Selects about {@value #SELECTED_ROUTERS} of the routers at random. Confined to the traffic
     * loop.
     */
    final class ForManyRouters implements ClearingSelector {

        private static final int SELECTED_ROUTERS = 8;

        private final IntSupplier mRouterCount;

        private final RandomGenerator mRandom;

        /**
         * Creates a selector.
         *
         * @param routerCount the number of routers, this one included
         */
        public ForManyRouters(IntSupplier routerCount, RandomGenerator random) {
            mRouterCount = routerCount;
            mRandom = random;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isSelected() {
            return mRandom.nextDouble() * mRouterCount.getAsInt() < SELECTED_ROUTERS;
        }
    }
}
