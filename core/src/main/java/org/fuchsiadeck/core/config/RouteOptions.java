package org.fuchsiadeck.core.config;

import java.util.List;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What a route may have beyond what every route has.
 *
 * @param host the host that callers name; empty for any host
 * @param prefix whether the path of the route is the beginning of the paths it serves, whatever their method
 * @param open whether callers need no key
 * @param stream whether answers are streams of events
 * @param maxAttempts backend servers a request may run on; 0 for the policy's number
 * @param targetMs the time to the answer, or to its first event, that callers expect, in milliseconds; 0 for none
 * @param shares the services the route is divided among; empty for the route's own service alone
 */
public record RouteOptions(
        String host, boolean prefix, boolean open, boolean stream, int maxAttempts, long targetMs, List<Share> shares) {
    /** The terms of a route that has none of its own. */
    public static final RouteOptions NONE = new RouteOptions("", false, true, false, 0, 0, List.of());

    public RouteOptions {
        requireNonNull(host, "host");
        Checks.inRange(maxAttempts, 0, Integer.MAX_VALUE, "maxAttempts");
        Checks.inRange(targetMs, 0, Route.MAX_DEADLINE_MS, "targetMs");
        shares = List.copyOf(shares);
    }

    /**
     * A service's part of a route.
     *
     * @param service the service
     * @param kind what the service speaks
     * @param weight its part, relative to the other services of the route
     */
    public record Share(String service, Backend.Kind kind, int weight) {
        public Share {
            Checks.notBlank(service, "service");
            requireNonNull(kind, "kind");
            Checks.inRange(weight, 0, Integer.MAX_VALUE, "weight");
        }
    }

    /**
     * Chooses a service by its weight.
     *
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return the share that the draw falls into
     */
    Share chooseShare(double draw) {
        double total = shares.stream().mapToInt(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share;
            }
        }
        return shares.get(shares.size() - 1);
    }
}
