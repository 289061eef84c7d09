package org.troutpier.daemon.node;

import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.ListeningSocket;
import org.troutpier.common.settings.Address;

/**
 * The callers' socket, opened as a process's first act where its environment names the address.
 * Callers who come while the rest is loaded wait in the system's queue instead of being turned
 * away. Confined to the main thread. Invariants: what is wrong with the address never ends the
 * start, the settings decide; the socket is taken once. The logger is not touched before {@link
 * #take}, because loading it is what takes long.
 */
public final class EarlySocket {

    /** Names the address, IP:port. */
    public static final String VARIABLE = "TROUTPIER_LISTEN";

    /** The socket, or null. */
    private final ListeningSocket mSocket;

    /** Why there is none though an address was named, or null. */
    private final Exception mFailure;

    /**
     * Creates an early socket.
     *
     * @param socket the socket, or null
     * @param failure why there is none though an address was named, or null
     */
    private EarlySocket(ListeningSocket socket, Exception failure) {
        mSocket = socket;
        mFailure = failure;
    }

    /**
     * Opens the socket.
     *
     * @param address where, IP:port, or null for no early socket
     * @return the socket, or what stands for none
     */
    public static EarlySocket open(String address) {
        if (address == null || address.isEmpty()) {
            return new EarlySocket(null, null);
        }
        try {
            return new EarlySocket(ListeningSocket.open(Address.parse(address)), null);
        } catch (IOException | RuntimeException exception) {
            return new EarlySocket(null, exception);
        }
    }

    /**
     * Hands the socket over, or opens one where there is none at the wanted address.
     *
     * @param wanted where the settings say that callers come in
     * @return a socket that listens there
     * @throws IOException if nobody can listen there
     */
    public ListeningSocket take(Address wanted) throws IOException {
        Logger logger = LogManager.getLogger(EarlySocket.class);
        if (mFailure != null) {
            logger.warn("no early socket cause={}", mFailure.toString());
        }
        if (mSocket == null) {
            return ListeningSocket.open(wanted);
        }
        if (mSocket.address().equals(wanted)) {
            return mSocket;
        }
        logger.warn("early socket not used at={} wanted={}", mSocket.address(), wanted);
        mSocket.close();
        return ListeningSocket.open(wanted);
    }
}
