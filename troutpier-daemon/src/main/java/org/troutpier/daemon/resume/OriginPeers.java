package org.troutpier.daemon.resume;

import org.troutpier.common.id.RequestId;

/** The other routers that record origins. Implementations are confined to the control thread. */
public interface OriginPeers {

    /** No other router. */
    OriginPeers NONE =
            new OriginPeers() {

                /** {@inheritDoc} */
                @Override
                public void announce(RequestId attempt, StreamOrigin origin) {}

                /** {@inheritDoc} */
                @Override
                public void ask(RequestId attempt) {}
            };

    /** Has a few other routers record the origin of the stream that an attempt began. */
    void announce(RequestId attempt, StreamOrigin origin);

    /**
     * Asks all other routers for the origin of the stream that an attempt began. Those that know it
     * answer, which {@link StreamOrigins#onAnswer} receives.
     */
    void ask(RequestId attempt);
}
