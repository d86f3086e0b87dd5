package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * A team of callers, with its weight, priority and quota.
 *
 * @param id the team's name, as in the {@code X-Team} header
 * @param weight the team's share of the capacity under overload, relative to the other teams
 * @param priority the priority that overrides {@link Route#priority()}; 0 to use that of the route
 * @param quota the rate limit of the team's requests
 */
public record Team(TeamId id, int weight, int priority, Quota quota) {
    /** The greatest weight of a team. */
    public static final int MAX_WEIGHT = 1_000;

    public Team {
        requireNonNull(id, "id");
        Checks.inRange(weight, 1, MAX_WEIGHT, "weight");
        Checks.inRange(priority, 0, Route.MAX_PRIORITY, "priority");
        requireNonNull(quota, "quota");
    }

    /**
     * Creates a team without a priority of its own and without a quota.
     *
     * @param id the team's name
     * @param weight the team's share of the capacity under overload, relative to the other teams
     */
    public Team(TeamId id, int weight) {
        this(id, weight, 0, Quota.NONE);
    }
}
