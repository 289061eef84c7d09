package org.troutpier.common.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.troutpier.common.settings.Address;

/**
 * A listening socket from which no connection is accepted yet: the operating system completes
 * connections and buffers what clients send until a server takes over the socket. So a process can
 * listen from its very start, while the rest of it is still being loaded. Immutable; thread safe as
 * its channel is. Invariant: it is owned by the server that takes its channel, and must be closed
 * otherwise.
 */
public final class ListeningSocket {

    /** Length of the backlog: the connections that many clients open in a second. */
    private static final int BACKLOG = 1024;

    private final ServerSocketChannel mChannel;

    private ListeningSocket(ServerSocketChannel channel) {
        mChannel = channel;
    }

    /**
     * Opens a socket and listens.
     *
     * @param address where
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
     * Returns where the socket listens, with the port that the system chose if 0 was given.
     *
     * @throws IOException if the socket is closed
     */
    public Address address() throws IOException {
        return Address.of((InetSocketAddress) mChannel.getLocalAddress());
    }

    /** Returns the channel, in blocking mode, for a server to take over. */
    ServerSocketChannel channel() {
        return mChannel;
    }

    /**
     * Stops listening; connections that were not accepted are reset.
     *
     * @throws IOException if the socket cannot be closed
     */
    public void close() throws IOException {
        mChannel.close();
    }
}
