package org.troutpier.common.http;

import io.netty.channel.Channel;

/**
 * Decides about new connections of a server. Called on the event loop of each connection.
 * Invariant: a connection that is not admitted is closed before anything is read from it, so that
 * its client knows that nothing was run.
 */
public interface ConnectionGate {

    /**
     * Decides whether a connection is served. An implementation may add handlers to one that it
     * admits.
     *
     * @return whether the connection is served; it is closed otherwise
     */
    boolean admit(Channel connection);

    /** Admits all connections. Immutable and thread safe. */
    enum ForNoRestriction implements ConnectionGate {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public boolean admit(Channel connection) {
            return true;
        }
    }
}
