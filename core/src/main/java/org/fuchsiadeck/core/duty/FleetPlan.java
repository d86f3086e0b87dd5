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
 * Decides how many servers of a service there are to be, of which kind and where.
 *
 * <p>Answers traffic that rises and falls within seconds while whole zones of reclaimable servers are taken away at two
 * seconds' notice, often one after the other: the fleet is made of reclaimable servers, spread so that what is left after
 * the loss of any one zone still carries the load. Once a zone is taken away, other servers are ordered for the loss of
 * one more, since they start later than the notice ends; they are kept until reclaimable ones have come up again. Before
 * traffic has been seen, a fleet that was taken down could not be had back in time, so it is sized by the teams' quotas.
 *
 * @param scaling what may be ordered
 * @param load servers that were needed lately
 * @param expected servers that what teams may ask for would take; 0 once the load has been seen for long enough
 * @param standing servers that stay, and those that are ordered and starting, by kind and zone
 * @param reclaiming whether servers were reclaimed a short time ago
 * @param withheld zones in which no reclaimable servers are to be had for now
 */
record FleetPlan(
        ServiceScaling scaling, Load load, int expected, Standing standing, boolean reclaiming, Set<Zone> withheld) {
    /** Fewer servers leave no room for a prompt that takes one of them for a second. */
    static final int LEAST_SERVERS = 3;

    /** So many reclaimable servers cost no more than one other server, and carry a rush until more have started. */
    static final int LEAST_RECLAIMABLE = 6;

    /** Part of all quotas that is used at once: teams seldom press together, and much of a prompt is shared. */
    private static final double USED_QUOTA = 0.75;

    private static final double MS_PER_SECOND = 1_000;

    FleetPlan {
        requireNonNull(scaling, "scaling");
        requireNonNull(load, "load");
        requireNonNull(standing, "standing");
        withheld = Set.copyOf(withheld);
    }

    /**
     * Returns the servers that teams would need if they asked for what they usually may.
     *
     * @param teams the teams
     * @return the number; 0 if no team has a quota in tokens
     */
    static int expected(List<Team> teams) {
        double tokens = teams.stream()
                .map(Team::quota)
                .filter(Quota::tokens)
                .mapToDouble(Quota::ratePerSecond)
                .sum();
        return (int) Math.ceil(USED_QUOTA * tokens / (EngineTime.TOKENS_PER_MS * MS_PER_SECOND));
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
     * Servers that were needed over the last seconds. Reclaimable servers are cheap enough to be ordered for the most of
     * them, others for the usual number.
     *
     * @param usual the number that was exceeded half of the time
     * @param most the highest number
     */
    record Load(double usual, double most) {}

    /**
     * The servers of a service that are not leaving.
     *
     * @param up servers that are registered
     * @param ordered the same, but where an order is being carried out what it asks for
     */
    record Standing(Map<Place, Integer> up, Map<Place, Integer> ordered) {
        Standing {
            up = Map.copyOf(up);
            ordered = Map.copyOf(ordered);
        }

        int up(Zone zone) {
            return up.getOrDefault(new Place(zone, true), 0);
        }

        int ordered(Zone zone, boolean reclaimable) {
            return ordered.getOrDefault(new Place(zone, reclaimable), 0);
        }
    }

    /**
     * Returns the numbers of servers that there are to be. What was ordered in a zone without reclaimable servers to be had
     * is left as it is.
     */
    Map<Place, Integer> wanted() {
        List<Zone> zones = new ArrayList<>(scaling.zonePrices().keySet());
        zones.sort(Comparator.comparingDouble((Zone z) -> scaling.zonePrices().get(z))
                .thenComparing(Comparator.naturalOrder()));
        List<Zone> open = zones.stream()
                .filter(z -> scaling.hasReclaimableServers() && !withheld.contains(z))
                .toList();
        int cheapNeeded = Math.max(Math.max(LEAST_RECLAIMABLE, expected), (int) Math.ceil(load.most()));
        int most = open.size() * scaling.max();
        Map<Zone, Integer> cheap =
                spread(open, open.isEmpty() ? 0 : withSpare(Math.min(cheapNeeded, most), open.size()));
        Map<Zone, Integer> dear = dear(zones, gap(zones, cheap));
        Map<Place, Integer> all = new HashMap<>();
        for (Zone zone : zones) {
            if (cheap.containsKey(zone)) {
                all.put(new Place(zone, true), cheap.get(zone));
            }
            all.put(new Place(zone, false), dear.getOrDefault(zone, 0));
        }
        return all;
    }

    /** Servers that reclaimable ones do not make up for, now or after the loss that is to be expected. */
    private int gap(List<Zone> zones, Map<Zone, Integer> cheap) {
        int up = 0;
        int most = 0;
        for (Zone zone : zones) {
            int here = Math.min(cheap.getOrDefault(zone, Integer.MAX_VALUE), standing.up(zone));
            up += here;
            most = Math.max(most, here);
        }
        int least = Math.max(Math.max(LEAST_SERVERS, expected), (int) Math.ceil(load.usual()));
        return Math.max(0, least - (reclaiming ? up - most : up));
    }

    /** Other servers fill the gap until enough reclaimable ones are up: first those that are there, then new ones where the service has
     * fewest, which are near to callers that have lost theirs. */
    private Map<Zone, Integer> dear(List<Zone> zones, int gap) {
        Map<Zone, Integer> kept = new TreeMap<>();
        int left = gap;
        for (Zone zone : zones) {
            int here = Math.min(left, standing.ordered(zone, false));
            kept.put(zone, here);
            left -= here;
        }
        boolean more = reclaiming || !scaling.hasReclaimableServers() || withheld.containsAll(zones);
        while (more && left > 0) {
            Zone least = null;
            int fewest = scaling.max();
            for (Zone zone : zones) {
                int here = kept.get(zone) + standing.ordered(zone, true);
                if (here < fewest) {
                    least = zone;
                    fewest = here;
                }
            }
            if (least == null) {
                return kept;
            }
            kept.merge(least, 1, Integer::sum);
            left--;
        }
        return kept;
    }

    /** The least number of servers that, spread evenly, leaves enough after the loss of one zone. */
    private static int withSpare(int needed, int zones) {
        int count = needed;
        while (zones > 1 && count - ceilDiv(count, zones) < needed) {
            count++;
        }
        return count;
    }

    private Map<Zone, Integer> spread(List<Zone> zones, int count) {
        Map<Zone, Integer> out = new TreeMap<>();
        zones.forEach(z -> out.put(z, scaling.min()));
        int left = count - scaling.min() * zones.size();
        while (left > 0) {
            Zone least = null;
            for (Zone zone : zones) {
                boolean room = out.get(zone) < scaling.max();
                if (room && (least == null || out.get(zone) < out.get(least))) {
                    least = zone;
                }
            }
            if (least == null) {
                return out;
            }
            out.merge(least, 1, Integer::sum);
            left--;
        }
        return out;
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
