package org.fuchsiadeck.core.share;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * An event that changes this node's usage or triggers its next report.
 */
public sealed interface ShareEvent extends Event {
    /**
     * A request of a team was admitted.
     *
     * @param team the team
     * @param units the request's cost in the unit of the team's quota
     */
    record Spent(TeamId team, long units) implements ShareEvent {
        public Spent {
            requireNonNull(team, "team");
        }
    }

    /**
     * A request of a team was refused because of the team's quota.
     *
     * @param team the team
     * @param units the request's cost in the unit of the team's quota
     */
    record Refused(TeamId team, long units) implements ShareEvent {
        public Refused {
            requireNonNull(team, "team");
        }
    }

    /**
     * A request for a service was received.
     *
     * @param service the name of the service
     */
    record Requested(String service) implements ShareEvent {
        public Requested {
            requireNonNull(service, "service");
        }
    }

    /**
     * A request is retried at a service.
     *
     * @param service the name of the service
     */
    record Repeated(String service) implements ShareEvent {
        public Repeated {
            requireNonNull(service, "service");
        }
    }

    /**
     * A backend server has started to process a request of a team.
     *
     * @param team the team
     * @param atMs the time of the start, in milliseconds of the node's monotonic clock
     */
    record Begun(TeamId team, long atMs) implements ShareEvent {
        public Begun {
            requireNonNull(team, "team");
        }
    }

    /** The next report of this node's usage is due. */
    record Tick() implements ShareEvent {}
}
