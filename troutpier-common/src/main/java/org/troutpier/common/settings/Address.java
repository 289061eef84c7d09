package org.troutpier.common.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Immutable and thread safe.
 *
 * @param host the IP address
 * @param port the port; 0 lets the operating system choose one for a server
 */
public record Address(String host, int port) {

    /** Characters of an IP address; compiled once, since each upstream row has an address. */
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:]+");

    /** The largest port. */
    private static final int MAX_PORT = 65535;

    /**
     * Validates the fields.
     *
     * @param host the IP address
     */
    public Address {
        Check.present("host", host);
        Check.that("host", IP_ADDRESS.matcher(host).matches(), "must be an IP number: " + host);
        Check.range("port", port, 0, MAX_PORT);
    }

    /**
     * Returns the address of a bound or connected socket.
     *
     * @param socket where it is
     * @return the address, its host as an IP address
     */
    public static Address of(InetSocketAddress socket) {
        return new Address(socket.getAddress().getHostAddress(), socket.getPort());
    }

    /**
     * Parses an address.
     *
     * @param text IP address, colon and port
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

    /** Returns the socket address. */
    public InetSocketAddress socket() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns the URL of a path at this address.
     *
     * @param path the path, with its slash
     */
    public String url(String path) {
        return "http://" + this + path;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && host.equals(that.host) && port == that.port;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
