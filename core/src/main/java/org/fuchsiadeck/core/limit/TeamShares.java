package org.fuchsiadeck.core.limit;

import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.fuchsiadeck.core.model.TeamId;

/**
 * The teams that have spent more than their share over all nodes in the quota window. Addresses a service with 16 teams
 * of which one sends 7.5 times its usual load through some of the nodes: each node sees a part of it only, and a share
 * per node would let a team that uses many nodes exceed its share everywhere. A share is relative to what was spent, so
 * that what a team leaves unused is available to others.
 *
 * @param over the teams above their share
 */
public record TeamShares(Set<TeamId> over) {
    /** No team is above its share. */
    public static final TeamShares NONE = new TeamShares(HashSet.empty());

    /** Units above a share, as a multiple of it, that count as equal: nodes know them from reports of different age. */
    private static final double TOLERANCE = 1.1;

    /**
     * What a team has spent over all nodes.
     *
     * @param team the team
     * @param weight the team's weight, relative to the other teams
     * @param units the units that it spent in the quota window
     * @param tokens whether the units are tokens; otherwise they are requests
     */
    public record Use(TeamId team, int weight, double units, boolean tokens) {}

    /**
     * Compares what teams have spent with their shares, which are proportional to their weights. Teams whose units are
     * tokens and teams whose units are requests are compared among themselves, since the units are not comparable.
     * Teams that spent nothing take no part.
     *
     * @param uses what each team has spent
     * @return the teams above their share
     */
    public static TeamShares of(List<Use> uses) {
        List<TeamId> over = new ArrayList<>();
        for (boolean tokens : new boolean[] {false, true}) {
            List<Use> active = uses.stream()
                    .filter(u -> u.tokens() == tokens && u.units() > 0)
                    .toList();
            double units = active.stream().mapToDouble(Use::units).sum();
            double weight = active.stream().mapToDouble(Use::weight).sum();
            active.stream()
                    .filter(u -> u.units() > TOLERANCE * units * u.weight() / weight)
                    .forEach(u -> over.add(u.team()));
        }
        return over.isEmpty() ? NONE : new TeamShares(HashSet.ofAll(over));
    }

    /**
     * Returns whether a team is above its share.
     *
     * @param team the team
     * @return whether it yields to teams that are not
     */
    public boolean isOver(TeamId team) {
        return over.contains(team);
    }
}
