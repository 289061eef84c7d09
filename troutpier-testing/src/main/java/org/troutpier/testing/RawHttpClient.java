package org.troutpier.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Speaks to a server byte by byte, as no client library would. Stateless and thread safe. */
public final class RawHttpClient {

    /** How long the server may be silent, milliseconds. */
    private static final int QUIET_MILLIS = 10_000;

    /** Not to be instantiated. */
    private RawHttpClient() {}

    /**
     * Sends a text as it stands and reads until the server closes.
     *
     * @param host where the server is
     * @param port where it listens
     * @param request the text, with plain line ends
     * @return what the server sent, with plain line ends
     */
    public static String exchange(String host, int port, String request) {
        try (Socket socket = new Socket(host, port)) {
            socket.setSoTimeout(QUIET_MILLIS);
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
