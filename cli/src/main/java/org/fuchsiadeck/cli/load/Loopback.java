package org.fuchsiadeck.cli.load;

import java.util.regex.Pattern;

import org.fuchsiadeck.core.model.Address;

/**
 * Keeps load on this machine.
 */
final class Loopback {
    private static final Pattern NUMBER = Pattern.compile("127(\\.\\d{1,3}){3}");

    private Loopback() {}

    /**
     * Checks a target of load.
     *
     * @param address the target
     * @return the target
     * @throws IllegalArgumentException if it is not an IP number in 127.0.0.0/8
     */
    static Address check(Address address) {
        if (!NUMBER.matcher(address.host()).matches()) {
            throw new IllegalArgumentException("load goes to 127.0.0.0/8 only, was " + address);
        }
        return address;
    }
}
