package org.fuchsiadeck.core.model;

/**
 * A TCP address at which a process listens.
 *
 * @param host the IP address
 * @param port the TCP port, 1 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    public Address {
        Checks.notBlank(host, "host");
        Checks.inRange(port, 1, MAX_PORT, "port");
    }

    /**
     * Parses an address.
     *
     * @param text {@code host:port}
     * @return the address
     * @throws IllegalArgumentException if the text is not {@code host:port}
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("an address must be host:port, was " + text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("an address must be host:port, was " + text, e);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
