package org.troutpier.standins.fault;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * A listening socket to which connections hang, as to a host behind a partition: its queue of
 * connections is full, so that the kernel drops the packets that open further ones. Not thread
 * safe.
 */
final class SilentSocket implements AutoCloseable {

    /** Connections that fill the queue: more than the kernel admits for a backlog of one. */
    private static final int FILLERS = 4;

    private static final int MAX_ATTEMPTS = 100;

    private static final long PAUSE_NANOS = 5_000_000;

    private final ServerSocket mListener;

    private final List<SocketChannel> mFillers = new ArrayList<>();

    /** Starts listening at an address. */
    SilentSocket(InetSocketAddress address) {
        try {
            mListener = new ServerSocket();
            mListener.setReuseAddress(true);
            bind(address);
            for (int filler = 0; filler < FILLERS; filler++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(address);
                mFillers.add(channel);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Binds the socket, once a selector has let go of the listener that had the address before. */
    private void bind(InetSocketAddress address) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                mListener.bind(address, 1);
                return;
            } catch (BindException exception) {
                if (attempt == MAX_ATTEMPTS) {
                    throw exception;
                }
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            for (SocketChannel filler : mFillers) {
                filler.close();
            }
            mListener.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
