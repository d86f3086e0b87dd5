package org.fuchsiadeck.core.config;

import java.util.Map;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * Bounds, start-up time and prices for ordering servers of a service.
 *
 * @param service the service
 * @param min the fewest servers in a zone
 * @param max the most servers in a zone
 * @param startupMs the time from an order until the new server serves requests, in milliseconds
 * @param reclaimablePrice the price of a reclaimable server relative to one that is not; 1 if none can be ordered
 * @param zonePrices the price of a server in each zone
 */
public record ServiceScaling(
        String service, int min, int max, long startupMs, double reclaimablePrice, Map<Zone, Double> zonePrices) {
    public ServiceScaling {
        requireNonNull(service, "service");
        Checks.inRange(min, 0, Integer.MAX_VALUE, "min");
        Checks.inRange(max, min, Integer.MAX_VALUE, "max");
        Checks.inRange(startupMs, 0, Long.MAX_VALUE, "startupMs");
        zonePrices = Map.copyOf(zonePrices);
    }

    /**
     * Returns whether reclaimable servers can be ordered, which are cheaper.
     *
     * @return whether they can be ordered
     */
    public boolean hasReclaimableServers() {
        return reclaimablePrice < 1;
    }
}
