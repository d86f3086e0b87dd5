package org.fuchsiadeck.core.config;

import java.util.Map;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * How many servers of a service may be ordered, and at what price.
 *
 * @param service the service
 * @param min least servers in a zone
 * @param max most servers in a zone
 * @param startupMs time from an order until a new server serves, in milliseconds
 * @param reclaimablePrice the price of a reclaimable server, relative to another one; 1 if there are none
 * @param zonePrices prices of a server by zone
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
     * Tells whether servers can be had that may be reclaimed, for less.
     *
     * @return whether such servers can be ordered
     */
    public boolean hasReclaimableServers() {
        return reclaimablePrice < 1;
    }
}
