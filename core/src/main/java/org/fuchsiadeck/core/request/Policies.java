package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.TeamId;

/**
 * Looks up the values that the configuration in force gives.
 */
final class Policies {
    /** The team that callers of no known team count as. */
    private static final TeamId OTHERS = new TeamId("others");

    private static final int OTHERS_WEIGHT = 1;

    private Policies() {}

    static Policy of(View view) {
        return view.config().defaults();
    }

    static Team team(View view, TeamId id) {
        for (Team team : view.config().teams()) {
            if (team.id().equals(id)) {
                return team;
            }
        }
        return new Team(OTHERS, OTHERS_WEIGHT);
    }
}
