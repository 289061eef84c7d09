package org.troutpier.common.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * An IP number and a port. Immutable and thread safe.
 *
 * @param host the IP number
 * @param port the port; 0 lets the system choose where a server listens
 */
public record Address(String host, int port) {

    /** What IP numbers are made of; compiled once, since each row of an upstream has one. */
    private static final Pattern NUMBER = Pattern.compile("[0-9.]+|[0-9a-fA-F:]+");

    /** The largest port. */
    private static final int MAX_PORT = 65535;

    /**
     * Checks the fields.
     *
     * @param host the IP number
     * @param port the port
     */
    public Address {
        Check.present("host", host);
        Check.that("host", NUMBER.matcher(host).matches(), "must be an IP number: " + host);
        Check.range("port", port, 0, MAX_PORT);
    }

    /**
     * Makes the address of a socket that is bound or connected.
     *
     * @param socket where it is
     * @return the address, its host as an IP number
     */
    public static Address of(InetSocketAddress socket) {
        return new Address(socket.getAddress().getHostAddress(), socket.getPort());
    }

    /**
     * Reads an address.
     *
     * @param text the IP number, a colon and the port
     * @return the address
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        Check.that("address", colon > 0, "must be IP:port but is " + text);
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        try {
            return new Address(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException exception) {
            throw new FieldException("address", "has no port number: " + text);
        }
    }

    /**
     * Returns the address as sockets take it.
     *
     * @return the socket address
     */
    public InetSocketAddress socket() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns the URL of a path here.
     *
     * @param path the path, with its slash
     * @return the URL
     */
    public String url(String path) {
        return "http://" + this + path;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
