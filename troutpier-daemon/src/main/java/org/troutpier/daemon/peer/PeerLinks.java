package org.troutpier.daemon.peer;

import java.util.Collection;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/** Connections to other routers. Implementations are confined to the control thread. */
public interface PeerLinks {

    /**
     * Connects to a router, unless there is a connection or one is being opened.
     *
     * @param member the router
     */
    void connect(Member member);

    /**
     * Returns whether there is a connection to a router.
     *
     * @param to the router
     * @return whether messages can be sent
     */
    boolean isConnected(Incarnation to);

    /**
     * Sends a message.
     *
     * @param to the router
     * @param message the message
     * @return whether there is a connection to it
     */
    boolean send(Incarnation to, PeerMessage message);

    /**
     * Sends a message to several routers; it is encoded once. Those without a connection are left
     * out.
     *
     * @param to the routers
     * @param message the message
     */
    void sendAll(Collection<Incarnation> to, PeerMessage message);

    /** Opens links for a router. */
    interface Factory {

        /**
         * Starts to listen.
         *
         * @param members who the others are
         * @param hearer hears messages on the control thread
         * @return the links
         */
        PeerLinks open(PeerMesh.Peers members, PeerMesh.MessageListener hearer);
    }
}
