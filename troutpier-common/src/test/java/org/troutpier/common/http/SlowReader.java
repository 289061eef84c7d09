package org.troutpier.common.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.troutpier.common.settings.Address;

/** A client on a socket of its own that reads only on request. Confined to one thread. */
final class SlowReader implements AutoCloseable {

    private static final int RECEIVE_BUFFER_BYTES = 8192;

    private static final int READ_MILLIS = 10_000;

    private final Socket mSocket = new Socket();

    /** Opens a connection with a small receive buffer. */
    SlowReader(Address server) throws IOException {
        mSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mSocket.setSoTimeout(READ_MILLIS);
        mSocket.connect(server.socket(), READ_MILLIS);
    }

    /** Sends text as it is. */
    void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request without a body. */
    void request(String path) throws IOException {
        send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    /**
     * Reads a number of bytes.
     *
     * @return the bytes, fewer at the end of the connection
     */
    byte[] read(int bytes) throws IOException {
        return mSocket.getInputStream().readNBytes(bytes);
    }

    /**
     * Reads in steps until the end of the connection.
     *
     * @param stepMillis pause before each step
     * @return the number of bytes read
     */
    long readToEnd(int stepBytes, int stepMillis) throws IOException, InterruptedException {
        InputStream input = mSocket.getInputStream();
        long total = 0;
        for (int read = stepBytes; read == stepBytes; total += read) {
            Thread.sleep(stepMillis);
            read = input.readNBytes(new byte[stepBytes], 0, stepBytes);
        }
        return total;
    }

    /** Returns all text up to the end of the connection. */
    String readText() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
