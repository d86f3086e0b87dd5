package org.fuchsiadeck.testbed.cloud;

import static java.util.Objects.requireNonNull;

/**
 * An entry instance in the list of instances.
 *
 * @param id its id
 * @param address {@code host:port}, where its peers reach it
 * @param zone its availability zone
 */
public record NodeInstance(String id, String address, String zone) {
    public NodeInstance {
        requireNonNull(id, "id");
        requireNonNull(address, "address");
        requireNonNull(zone, "zone");
    }
}
