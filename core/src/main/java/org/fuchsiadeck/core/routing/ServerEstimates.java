package org.fuchsiadeck.core.routing;

import java.util.Optional;
import java.util.function.ToDoubleFunction;

import io.vavr.collection.Set;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * Estimates of how fast backend servers work and what it costs to reach them.
 *
 * @param prefillTokensPerMs prompt tokens that a server of usual speed processes per millisecond
 * @param speed returns a server's speed relative to the usual one of its service; greater than 0
 * @param zoneCostMs returns the cost of using a server because of its availability zone, in milliseconds
 * @param baseMs the time of a request without a prompt on an idle server of usual speed, in milliseconds; 0 where it is
 *     not measured
 * @param ownerWeight returns the relative number of shared prefixes that a server owns; it has few distinct values, on
 *     which nodes agree
 * @param zoneServers the servers of the availability zone that was picked for the request; empty if none was picked, so
 *     that all zones are compared
 */
public record ServerEstimates(
        double prefillTokensPerMs,
        ToDoubleFunction<Backend> speed,
        ToDoubleFunction<Backend> zoneCostMs,
        double baseMs,
        ToDoubleFunction<BackendId> ownerWeight,
        Optional<Set<BackendId>> zoneServers) {
    /** Cost of using another availability zone, in milliseconds: the network round trip and the price of the bytes. */
    private static final double OTHER_ZONE_MS = 2;

    public ServerEstimates {
        requireNonNull(speed, "speed");
        requireNonNull(zoneCostMs, "zoneCostMs");
        requireNonNull(ownerWeight, "ownerWeight");
        requireNonNull(zoneServers, "zoneServers");
    }

    /**
     * Creates estimates that concern only prompts, the waiting time and zones.
     *
     * @param prefillTokensPerMs the prompt tokens that a server of usual speed processes per millisecond
     * @param speed returns the present speed of a server; 1 is usual
     * @param zoneCostMs returns the cost of using the zone of a server, in milliseconds
     */
    public ServerEstimates(
            double prefillTokensPerMs, ToDoubleFunction<Backend> speed, ToDoubleFunction<Backend> zoneCostMs) {
        this(prefillTokensPerMs, speed, zoneCostMs, 0, id -> 1, Optional.empty());
    }

    /**
     * Returns the estimates that apply where nothing is measured: equal speeds, and a constant cost of other zones.
     *
     * @param own the availability zone of the node
     * @return the estimates
     */
    public static ServerEstimates standard(Zone own) {
        return new ServerEstimates(
                EngineTime.PREFILL_TOKENS_PER_MS, b -> 1, b -> b.zone().equals(own) ? 0 : OTHER_ZONE_MS);
    }

    /**
     * Returns these estimates for a request for which a zone may have been picked.
     *
     * @param costMs returns the cost of using a server because of its availability zone, in milliseconds
     * @param picked the servers of the picked zone; empty if none was picked
     * @return the estimates
     */
    ServerEstimates withZones(ToDoubleFunction<Backend> costMs, Optional<Set<BackendId>> picked) {
        return new ServerEstimates(prefillTokensPerMs, speed, costMs, baseMs, ownerWeight, picked);
    }
}
