package org.fuchsiadeck.core.share;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * What each team may spend at present beyond the rate of its quota, over all nodes: a token bucket that holds at most
 * the quota's burst, is filled at the quota's rate, and is emptied by what all nodes report as spent.
 *
 * <p>Intended for a team that sends many times its rate for seconds through many nodes. The limit of the quota window
 * alone admits all of it at first, and next to nothing for the rest of the window. Reports of a rise
 * arrive late, so that nodes admit too much at first; the team then gets less than its rate until that is made up for.
 *
 * @param units the units left, by team; negative for what was spent too much; a team without an entry has none left
 * @param atMs when the units were last updated, in milliseconds; negative if never
 */
record BurstAllowances(Map<TeamId, Double> units, long atMs) {
    static final BurstAllowances NONE = new BurstAllowances(HashMap.empty(), -1);

    private static final double MS_PER_SECOND = 1_000;

    /** Longest time that one update covers, in milliseconds: what was spent before is not known any more. */
    private static final long MAX_STEP_MS = 2_000;

    /** The fraction of its rate that a team gets while it has spent too much. */
    private static final double OVERSPENT_RATE = 0.9;

    /** The greatest overspending that is made up for, as the time in which it would be spent at the rate. */
    private static final double MAX_OVERSPENT_MS = 1_500;

    BurstAllowances {
        requireNonNull(units, "units");
    }

    /**
     * Returns the units that a team may spend in a period.
     *
     * @param team the team
     * @param quota its quota
     * @param periodMs the length of the period, in milliseconds
     */
    double available(TeamId team, Quota quota, long periodMs) {
        double atRate = quota.ratePerSecond() * periodMs / MS_PER_SECOND;
        double left = of(team);
        return left < 0 ? atRate * OVERSPENT_RATE : left + atRate;
    }

    private double of(TeamId team) {
        return units.getOrElse(team, 0.0);
    }

    /**
     * Returns the allowances at a later time. Teams without a limit have no entry, and those that are no longer
     * configured lose theirs.
     *
     * @param nowMs the time, in milliseconds
     * @param teams the configured teams
     * @param spentPerMs returns the units that all nodes spend per millisecond for a team
     */
    BurstAllowances after(long nowMs, Collection<Team> teams, ToDoubleFunction<TeamId> spentPerMs) {
        long stepMs = atMs < 0 ? 0 : Math.max(0, Math.min(MAX_STEP_MS, nowMs - atMs));
        Map<TeamId, Double> next = HashMap.empty();
        for (Team team : teams) {
            Quota quota = team.quota();
            if (quota.isLimited()) {
                double ratePerMs = quota.ratePerSecond() / MS_PER_SECOND;
                double left = of(team.id()) + (ratePerMs - spentPerMs.applyAsDouble(team.id())) * stepMs;
                next = next.put(team.id(), Math.max(-ratePerMs * MAX_OVERSPENT_MS, Math.min(quota.burst(), left)));
            }
        }
        return new BurstAllowances(next, nowMs);
    }
}
