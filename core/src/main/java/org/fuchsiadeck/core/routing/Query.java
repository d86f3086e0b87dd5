package org.fuchsiadeck.core.routing;

import java.util.List;

import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * What a router knows of a request.
 *
 * @param nowMs the time, in milliseconds
 * @param zone the availability zone of the node
 * @param prefix hashes of the prompt's prefixes, the shortest first; empty if there is no prompt
 * @param sent which prefixes were sent where
 * @param seed random bits for this choice
 * @param sequence choices made before
 */
public record Query(long nowMs, Zone zone, List<Long> prefix, PrefixView sent, long seed, long sequence) {
    public Query {
        requireNonNull(zone, "zone");
        prefix = List.copyOf(prefix);
        requireNonNull(sent, "sent");
    }
}
