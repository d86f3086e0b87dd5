package org.fuchsiadeck.core.config;

import java.util.List;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Optional settings of a route.
 *
 * @param host the host that callers must name; empty for any host
 * @param prefix whether the route serves all paths that begin with its path, with any method
 * @param open whether callers may use the route without a key
 * @param stream whether answers are event streams
 * @param maxAttempts the most backend servers that a request may run on; 0 to apply the policy's number
 * @param targetMs the target time until the answer, or until the first event of a stream, in milliseconds; 0 for none
 * @param shares the services among which requests are divided; empty if the route's own service gets all of them
 */
public record RouteOptions(
        String host, boolean prefix, boolean open, boolean stream, int maxAttempts, long targetMs, List<Share> shares) {
    /** The options of a route that sets none. */
    public static final RouteOptions NONE = new RouteOptions("", false, true, false, 0, 0, List.of());

    public RouteOptions {
        requireNonNull(host, "host");
        Checks.inRange(maxAttempts, 0, Integer.MAX_VALUE, "maxAttempts");
        Checks.inRange(targetMs, 0, Route.MAX_DEADLINE_MS, "targetMs");
        shares = List.copyOf(shares);
    }

    /**
     * A service that gets a share of a route's requests.
     *
     * @param service the service
     * @param kind the kind of backend server that the service runs on
     * @param weight its share, relative to the weights of the route's other services
     */
    public record Share(String service, Backend.Kind kind, int weight) {
        public Share {
            Checks.notBlank(service, "service");
            requireNonNull(kind, "kind");
            Checks.inRange(weight, 0, Integer.MAX_VALUE, "weight");
        }
    }

    /**
     * Chooses a service with a probability proportional to its weight.
     *
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return the chosen share
     */
    Share chooseShare(double draw) {
        double total = shares.stream().mapToInt(Share::weight).sum();
        double remaining = draw * total;
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share;
            }
        }
        return shares.get(shares.size() - 1);
    }
}
