package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.TeamId;

/**
 * Looks up policies in the current configuration.
 */
final class Policies {
    /** The team to which callers of unknown teams are assigned. */
    private static final TeamId UNKNOWN_TEAMS = new TeamId("others");

    private static final int UNKNOWN_TEAMS_WEIGHT = 1;

    private Policies() {}

    /** Returns the policy for a request irrespective of the backend server. */
    static Policy of(RequestReduction reduction, ActiveRequest request) {
        Subject subject = withTeam(reduction, Subject.of(request.route()), request);
        return reduction.policy(
                request.history().version().map(subject::withVersion).getOrElse(subject));
    }

    /** Returns the policy for a request at a backend server. */
    static Policy of(RequestReduction reduction, ActiveRequest request, Backend backend) {
        Subject server = Subject.of(backend).withRoute(request.route().name());
        return reduction.policy(withTeam(reduction, server, request));
    }

    /** Returns the policy for a backend server irrespective of the request. */
    static Policy of(RequestReduction reduction, Backend backend) {
        return reduction.policy(Subject.of(backend));
    }

    /** Returns the weight of a backend server for requests of a route, relative to the default weight. */
    static double relativeWeight(RequestReduction reduction, ActiveRequest request, Backend backend) {
        Subject server = Subject.of(backend).withRoute(request.route().name());
        double defaultWeight = reduction.view().config().defaults().weight();
        return reduction.policy(server).weight() / defaultWeight;
    }

    private static Subject withTeam(RequestReduction reduction, Subject subject, ActiveRequest request) {
        TeamId team = request.call().team();
        for (Team known : reduction.view().config().teams()) {
            if (known.id().equals(team)) {
                return subject.withTeam(team);
            }
        }
        return subject;
    }

    /** Returns the configured team with the id, or the team for unknown teams. */
    static Team team(View view, TeamId id) {
        for (Team team : view.config().teams()) {
            if (team.id().equals(id)) {
                return team;
            }
        }
        return new Team(UNKNOWN_TEAMS, UNKNOWN_TEAMS_WEIGHT);
    }
}
