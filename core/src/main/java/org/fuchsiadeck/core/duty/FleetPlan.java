package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.ServiceScaling;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * Computes the target number of backend servers of a service, by zone and by kind: reclaimable or on-demand (not
 * reclaimable).
 *
 * <p>Traffic rises and falls within seconds, and whole zones of reclaimable servers are reclaimed at two seconds'
 * notice, often one after the other. The fleet therefore consists of reclaimable servers, spread so that the servers
 * left after the loss of any one zone carry the load. Once a zone has been reclaimed, on-demand servers are ordered for
 * the loss of one more zone, because they take longer to start than the notice gives. They are kept until enough
 * reclaimable servers are registered again. Before traffic has been observed the fleet is sized by the teams' quotas,
 * because servers that were given up would not be back in time.
 *
 * @param scaling the limits and prices for the service
 * @param recentNeed servers needed over the last seconds
 * @param serversForQuotas servers needed to serve the teams' quotas; 0 once traffic has been observed for long enough
 * @param current servers that are not leaving, including ordered ones that are starting
 * @param recentlyReclaimed whether servers were reclaimed a short time ago
 * @param unavailableZones zones in which no reclaimable servers are available at present
 */
record FleetPlan(
        ServiceScaling scaling,
        RecentNeed recentNeed,
        int serversForQuotas,
        CurrentServers current,
        boolean recentlyReclaimed,
        Set<Zone> unavailableZones) {
    /** With fewer servers, a prompt that occupies one of them for a second leaves too little capacity. */
    static final int MIN_SERVERS = 3;

    /**
     * This many reclaimable servers cost no more than one on-demand server, and carry a peak until more have started.
     */
    static final int MIN_RECLAIMABLE = 6;

    /** Fraction of all quotas in use at once: teams rarely peak together, and prompts share long prefixes. */
    private static final double QUOTA_USE_FRACTION = 0.75;

    private static final double MS_PER_SECOND = 1_000;

    /** Fraction of a server that is not ordered, so that rounding of speeds orders none. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    FleetPlan {
        requireNonNull(scaling, "scaling");
        requireNonNull(recentNeed, "recentNeed");
        requireNonNull(current, "current");
        unavailableZones = Set.copyOf(unavailableZones);
    }

    /**
     * Returns the number of servers needed to serve the fraction of the teams' quotas that is usually in use.
     *
     * @param teams the teams
     * @return the number of servers; 0 if no team has a quota in tokens
     */
    static int serversForQuotas(List<Team> teams) {
        return serversForQuotas(teams, EngineTime.PREFILL_TOKENS_PER_MS);
    }

    /**
     * Returns the same for servers whose prefill rate is known.
     *
     * @param teams the teams
     * @param tokensPerMs the prompt tokens that a server processes per millisecond
     * @return the number of servers; 0 if no team has a quota in tokens
     */
    static int serversForQuotas(List<Team> teams, double tokensPerMs) {
        double tokens = teams.stream()
                .map(Team::quota)
                .filter(Quota::tokens)
                .mapToDouble(Quota::ratePerSecond)
                .sum();
        return (int) Math.ceil(QUOTA_USE_FRACTION * tokens / (tokensPerMs * MS_PER_SECOND));
    }

    /**
     * A kind of server in a zone.
     *
     * @param zone the zone
     * @param reclaimable whether the servers may be reclaimed
     */
    record Place(Zone zone, boolean reclaimable) {
        Place {
            requireNonNull(zone, "zone");
        }
    }

    /**
     * Number of servers needed over the last seconds. Reclaimable servers are cheap enough to be ordered for the peak,
     * on-demand servers are ordered for the median.
     *
     * @param median the median number
     * @param peak the highest number
     */
    record RecentNeed(double median, double peak) {}

    /**
     * The servers of a service that are not leaving.
     *
     * @param registered registered servers, by zone and kind
     * @param ordered the same, but with the ordered number where an order is in progress
     * @param speeds the mean speed of the registered servers by zone and kind, relative to the service's registered
     *     servers together; left out where it is 1
     */
    record CurrentServers(Map<Place, Integer> registered, Map<Place, Integer> ordered, Map<Place, Double> speeds) {
        CurrentServers {
            registered = Map.copyOf(registered);
            ordered = Map.copyOf(ordered);
            speeds = Map.copyOf(speeds);
        }

        /** Creates the servers of a service that are equally fast. */
        CurrentServers(Map<Place, Integer> registered, Map<Place, Integer> ordered) {
            this(registered, ordered, Map.of());
        }

        double speed(Zone zone) {
            return speeds.getOrDefault(new Place(zone, true), 1.0);
        }

        int registered(Zone zone) {
            return registered.getOrDefault(new Place(zone, true), 0);
        }

        int ordered(Zone zone, boolean reclaimable) {
            return ordered.getOrDefault(new Place(zone, reclaimable), 0);
        }
    }

    /**
     * Returns the target number of servers by zone and kind. Reclaimable servers of a zone in which none are available
     * are left out, so that their last order stays unchanged.
     */
    Map<Place, Integer> targetCounts() {
        List<Zone> zones = new ArrayList<>(scaling.zonePrices().keySet());
        zones.sort(Comparator.comparingDouble((Zone z) -> scaling.zonePrices().get(z))
                .thenComparing(Comparator.naturalOrder()));
        List<Zone> available = zones.stream()
                .filter(z -> scaling.hasReclaimableServers() && !unavailableZones.contains(z))
                .toList();
        int reclaimableNeeded =
                Math.max(Math.max(MIN_RECLAIMABLE, serversForQuotas), (int) Math.ceil(recentNeed.peak()));
        int capacity = available.size() * scaling.max();
        Map<Zone, Integer> reclaimable = spread(
                available,
                available.isEmpty() ? 0 : withZoneSpare(Math.min(reclaimableNeeded, capacity), available.size()));
        Map<Zone, Integer> onDemand = onDemand(zones, gap(zones, reclaimable));
        Map<Place, Integer> all = new HashMap<>();
        for (Zone zone : zones) {
            if (reclaimable.containsKey(zone)) {
                all.put(new Place(zone, true), reclaimable.get(zone));
            }
            all.put(new Place(zone, false), onDemand.getOrDefault(zone, 0));
        }
        return all;
    }

    /**
     * Returns the number of servers, of mean speed, that reclaimable ones do not cover, now or after the expected loss of one more
     * zone.
     */
    private int gap(List<Zone> zones, Map<Zone, Integer> reclaimable) {
        double registered = 0;
        double largestZone = 0;
        for (Zone zone : zones) {
            int inZone = Math.min(reclaimable.getOrDefault(zone, Integer.MAX_VALUE), current.registered(zone));
            double capacity = inZone * current.speed(zone);
            registered += capacity;
            largestZone = Math.max(largestZone, capacity);
        }
        int needed = Math.max(Math.max(MIN_SERVERS, serversForQuotas), (int) Math.ceil(recentNeed.median()));
        double remaining = recentlyReclaimed ? registered - largestZone : registered;
        return (int) Math.max(0, Math.ceil(needed - remaining - ROUNDING_TOLERANCE));
    }

    /**
     * Spreads the on-demand servers that fill the gap: first those that exist or are ordered, then new ones in the
     * zones where the service has fewest, close to the callers whose servers were lost.
     */
    private Map<Zone, Integer> onDemand(List<Zone> zones, int gap) {
        Map<Zone, Integer> counts = new TreeMap<>();
        int remaining = gap;
        for (Zone zone : zones) {
            int inZone = Math.min(remaining, current.ordered(zone, false));
            counts.put(zone, inZone);
            remaining -= inZone;
        }
        boolean mayOrder = recentlyReclaimed || !scaling.hasReclaimableServers() || unavailableZones.containsAll(zones);
        while (mayOrder && remaining > 0) {
            Zone smallestZone = null;
            int fewest = scaling.max();
            for (Zone zone : zones) {
                int inZone = counts.get(zone) + current.ordered(zone, true);
                if (inZone < fewest) {
                    smallestZone = zone;
                    fewest = inZone;
                }
            }
            if (smallestZone == null) {
                return counts;
            }
            counts.merge(smallestZone, 1, Integer::sum);
            remaining--;
        }
        return counts;
    }

    /** Returns the smallest number of servers that, spread evenly, leaves enough after the loss of one zone. */
    private static int withZoneSpare(int needed, int zones) {
        int count = needed;
        while (zones > 1 && count - ceilDiv(count, zones) < needed) {
            count++;
        }
        return count;
    }

    private Map<Zone, Integer> spread(List<Zone> zones, int count) {
        Map<Zone, Integer> out = new TreeMap<>();
        zones.forEach(z -> out.put(z, scaling.min()));
        int remaining = count - scaling.min() * zones.size();
        while (remaining > 0) {
            Zone smallestZone = null;
            for (Zone zone : zones) {
                boolean room = out.get(zone) < scaling.max();
                if (room && (smallestZone == null || out.get(zone) < out.get(smallestZone))) {
                    smallestZone = zone;
                }
            }
            if (smallestZone == null) {
                return out;
            }
            out.merge(smallestZone, 1, Integer::sum);
            remaining--;
        }
        return out;
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
