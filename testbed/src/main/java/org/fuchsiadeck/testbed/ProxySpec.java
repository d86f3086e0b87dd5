package org.fuchsiadeck.testbed;

import static java.util.Objects.requireNonNull;

/**
 * A proxy in front of something that is no stand-in, such as an entry process.
 *
 * @param id its id
 * @param port the port, 0 for any
 * @param target {@code host:port}
 */
public record ProxySpec(String id, int port, String target) {
    public ProxySpec {
        requireNonNull(id, "id");
        requireNonNull(target, "target");
    }
}
