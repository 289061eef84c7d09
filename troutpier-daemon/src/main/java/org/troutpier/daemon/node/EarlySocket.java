package org.troutpier.daemon.node;

import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.ListeningSocket;
import org.troutpier.common.settings.Address;

/**
 * The callers' socket, opened as the first act of a process if its environment names the address.
 * Callers that connect while the rest is loaded wait in the listen backlog instead of being
 * refused. Confined to the main thread. Invariants: an invalid address never prevents the start,
 * because the settings decide; the socket is taken once. The logger is not touched before {@link
 * #take}, because loading it takes long.
 */
public final class EarlySocket {

    /** The environment variable with the address, IP:port. */
    public static final String VARIABLE = "TROUTPIER_LISTEN";

    private final ListeningSocket mSocket;

    /** Why the socket could not be opened, or null. */
    private final Exception mFailure;

    private EarlySocket(ListeningSocket socket, Exception failure) {
        mSocket = socket;
        mFailure = failure;
    }

    /**
     * Opens the socket. A failure is kept until {@link #take}.
     *
     * @param address the address, IP:port, or null for no early socket
     * @return the early socket, which may be empty
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
     * Returns the early socket, or opens one if there is none at the wanted address.
     *
     * @param wanted the callers' address in the settings
     * @return a socket that listens there
     * @throws IOException if the address cannot be bound
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
