package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

import org.fuchsiadeck.core.model.Backend;
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
 * @param weight gives how much a server counts against others; 1 is usual
 */
public record Query(
        long nowMs,
        Zone zone,
        List<Long> prefix,
        PrefixView sent,
        long seed,
        long sequence,
        ToDoubleFunction<Backend> weight) {
    public Query {
        requireNonNull(zone, "zone");
        prefix = List.copyOf(prefix);
        requireNonNull(sent, "sent");
        requireNonNull(weight, "weight");
    }

    /**
     * Describes a request for which all servers count alike.
     *
     * @param nowMs the time, in milliseconds
     * @param zone the availability zone of the node
     * @param prefix hashes of the prompt's prefixes, the shortest first; empty if there is no prompt
     * @param sent which prefixes were sent where
     * @param seed random bits for this choice
     * @param sequence choices made before
     */
    public Query(long nowMs, Zone zone, List<Long> prefix, PrefixView sent, long seed, long sequence) {
        this(nowMs, zone, prefix, sent, seed, sequence, b -> 1);
    }
}
