package org.fuchsiadeck.node.exchange;

import static java.util.Objects.requireNonNull;

/**
 * A header field that is passed on between a caller and a backend server.
 *
 * @param name the field's name, as it came
 * @param value the field's value
 */
public record Header(String name, String value) {
    public Header {
        requireNonNull(name, "name");
        requireNonNull(value, "value");
    }
}
