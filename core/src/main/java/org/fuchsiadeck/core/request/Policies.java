package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.TeamId;

/**
 * Looks up the values that the configuration in force gives.
 */
final class Policies {
    /** The team that callers of no known team count as. */
    private static final TeamId OTHERS = new TeamId("others");

    private static final int OTHERS_WEIGHT = 1;

    private Policies() {}

    /** Returns the values for a request that is at no backend server, or may be at any. */
    static Policy of(RequestReduction turn, ActiveRequest exchange) {
        Subject subject = caller(turn, Subject.of(exchange.route()), exchange);
        return turn.policy(
                exchange.history().version().map(subject::withVersion).getOrElse(subject));
    }

    /** Returns the values for a request at a backend server. */
    static Policy of(RequestReduction turn, ActiveRequest exchange, Backend backend) {
        Subject server = Subject.of(backend).withRoute(exchange.route().name());
        return turn.policy(caller(turn, server, exchange));
    }

    /** Returns the values for a backend server, whatever is sent there. */
    static Policy of(RequestReduction turn, Backend backend) {
        return turn.policy(Subject.of(backend));
    }

    /** Returns how much a backend server counts for requests of a route; 1 is usual. */
    static double weight(RequestReduction turn, ActiveRequest exchange, Backend backend) {
        Subject server = Subject.of(backend).withRoute(exchange.route().name());
        double usual = turn.view().config().defaults().weight();
        return turn.policy(server).weight() / usual;
    }

    private static Subject caller(RequestReduction turn, Subject subject, ActiveRequest exchange) {
        TeamId team = exchange.call().team();
        for (Team known : turn.view().config().teams()) {
            if (known.id().equals(team)) {
                return subject.withTeam(team);
            }
        }
        return subject;
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
