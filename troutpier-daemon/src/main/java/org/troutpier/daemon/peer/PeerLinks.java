package org.troutpier.daemon.peer;

import java.util.Collection;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/** Connections to other routers. Implementations are confined to the control thread. */
public interface PeerLinks {

    /**
     * Connects to a router, unless a connection is open or being opened.
     *
     * @param member the router
     */
    void connect(Member member);

    /**
     * Returns whether messages can be sent to a router.
     *
     * @param to the router
     */
    boolean isConnected(Incarnation to);

    /**
     * Returns whether messages about the origins of streams can be sent to a router.
     *
     * @param to the router
     * @return {@code false} also for one of an earlier version, which would close the connection
     */
    default boolean acceptsOrigins(Incarnation to) {
        return isConnected(to);
    }

    /**
     * Sends a message.
     *
     * @param to the router
     * @return {@code false} if there is no connection to the router
     */
    boolean send(Incarnation to, PeerMessage message);

    /**
     * Sends a message to several routers, encoding it once. Routers without a connection are
     * skipped.
     *
     * @param to the routers
     */
    void sendAll(Collection<Incarnation> to, PeerMessage message);

    /** Creates the links of a router. */
    interface Factory {

        /**
         * Starts to listen for connections of other routers.
         *
         * @param peers the other routers
         * @param listener receives messages on the control thread
         */
        PeerLinks open(PeerMesh.Peers peers, PeerMesh.MessageListener listener);
    }
}
