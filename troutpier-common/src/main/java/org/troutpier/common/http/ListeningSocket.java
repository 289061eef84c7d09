package org.troutpier.common.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.troutpier.common.settings.Address;

/**
 * A socket that listens before anybody accepts from it: the operating system completes connections
 * and keeps what callers send until a server takes the socket over. So a process can let callers in
 * as its very first act, while the rest of it is still being loaded. Immutable; thread safe as its
 * channel is. Invariant: it belongs to whoever takes its channel, and is closed otherwise.
 */
public final class ListeningSocket {

    /** How many connections may wait to be accepted: those of a second of many callers. */
    private static final int BACKLOG = 1024;

    /** The socket. */
    private final ServerSocketChannel mChannel;

    /**
     * Creates a socket.
     *
     * @param channel the bound channel
     */
    private ListeningSocket(ServerSocketChannel channel) {
        mChannel = channel;
    }

    /**
     * Opens a socket and listens.
     *
     * @param address where
     * @return the socket
     * @throws IOException if the address cannot be listened at
     */
    public static ListeningSocket open(Address address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.bind(address.socket(), BACKLOG);
            return new ListeningSocket(channel);
        } catch (IOException exception) {
            channel.close();
            throw new IOException("cannot listen at " + address, exception);
        }
    }

    /**
     * Returns where the socket listens.
     *
     * @return the address, with the port that the system chose
     * @throws IOException if the socket is closed
     */
    public Address address() throws IOException {
        return Address.of((InetSocketAddress) mChannel.getLocalAddress());
    }

    /**
     * Hands the socket over to a server.
     *
     * @return the channel, in its blocking mode
     */
    ServerSocketChannel channel() {
        return mChannel;
    }

    /**
     * Stops listening; connections that nobody accepted are reset.
     *
     * @throws IOException if the socket cannot be closed
     */
    public void close() throws IOException {
        mChannel.close();
    }
}
