package org.fuchsiadeck.core.duty;

import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * A platform call that only the leader makes. Each call ends with exactly one {@link DutyEvent.Called}.
 */
public sealed interface DutyEffect extends Effect {
    /**
     * Returns the call's tag.
     *
     * @return the tag
     */
    String tag();

    /**
     * Returns the number by which the platform distinguishes this leader's calls from those of earlier leaders.
     *
     * @return the fencing token
     */
    long fencingToken();

    /**
     * Reports the usage of a window.
     *
     * @param tag the call's tag
     * @param fencingToken the fencing token
     * @param window the window's number
     * @param counts requests that backend servers started in the window, by team
     */
    record ReportUsage(String tag, long fencingToken, long window, Map<TeamId, Long> counts) implements DutyEffect {
        public ReportUsage {
            requireNonNull(tag, "tag");
            counts = Map.copyOf(counts);
        }
    }

    /**
     * Sets the number of backend servers of one kind in a zone.
     *
     * @param tag the call's tag
     * @param fencingToken the fencing token
     * @param service the service
     * @param zone the zone
     * @param reclaimable whether the order is for reclaimable servers
     * @param count the target number of servers of this kind
     */
    record OrderServers(String tag, long fencingToken, String service, Zone zone, boolean reclaimable, int count)
            implements DutyEffect {
        public OrderServers {
            requireNonNull(tag, "tag");
            requireNonNull(service, "service");
            requireNonNull(zone, "zone");
        }
    }
}
