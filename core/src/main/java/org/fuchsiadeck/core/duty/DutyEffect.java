package org.fuchsiadeck.core.duty;

import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * A call to the platform for a duty. Ends with one {@link DutyEvent.Called}.
 */
public sealed interface DutyEffect extends Effect {
    /**
     * Returns the call's tag.
     *
     * @return the tag
     */
    String tag();

    /**
     * Returns the number that tells this holder's calls from those of earlier ones.
     *
     * @return the fencing token
     */
    long fencingToken();

    /**
     * Reports the use in a window.
     *
     * @param tag the call's tag
     * @param fencingToken the fencing token
     * @param window the window's number
     * @param counts requests that servers began in it, by team
     */
    record ReportUsage(String tag, long fencingToken, long window, Map<TeamId, Long> counts) implements DutyEffect {
        public ReportUsage {
            requireNonNull(tag, "tag");
            counts = Map.copyOf(counts);
        }
    }

    /**
     * Orders a number of servers.
     *
     * @param tag the call's tag
     * @param fencingToken the fencing token
     * @param service the service
     * @param zone the zone
     * @param reclaimable whether servers are ordered that may be reclaimed
     * @param count how many of this kind there are to be
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
