package org.troutpier.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Sends raw bytes to an HTTP server, including requests that no client library would send.
 * Stateless and thread safe.
 */
public final class RawHttpClient {

    /** Read time-out, milliseconds. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private RawHttpClient() {}

    /**
     * Sends a text unchanged except for line ends and reads until the server closes the connection.
     *
     * @param host where the server is
     * @param port where it listens
     * @param request the text, with \n as line end
     * @return the response, with \n as line end
     */
    public static String exchange(String host, int port, String request) {
        try (Socket socket = new Socket(host, port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(request.replace("\n", "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("\r\n", "\n");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
