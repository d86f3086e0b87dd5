package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * A team of callers.
 *
 * @param id the team's name, as the {@code X-Team} header gives it
 * @param weight the team's part when capacity is short, relative to the other teams
 */
public record Team(TeamId id, int weight) {
    /** The greatest weight of a team. */
    public static final int MAX_WEIGHT = 1_000;

    public Team {
        requireNonNull(id, "id");
        Checks.inRange(weight, 1, MAX_WEIGHT, "weight");
    }
}
