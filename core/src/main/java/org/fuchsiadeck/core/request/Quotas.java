package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.share.ShareEvent;
import org.fuchsiadeck.core.share.ShareState.Room;

/**
 * Holds teams to their quotas, which all nodes share.
 */
final class Quotas {
    private static final int TOO_MANY = 429;
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final double MS_PER_SECOND = 1_000;

    private Quotas() {}

    static Optional<Refusal> refusal(RequestReduction turn, ActiveRequest exchange) {
        Team team = Policies.team(turn.view(), exchange.call().team());
        Quota quota = team.quota();
        long units = units(exchange, quota);
        if (!quota.isLimited()) {
            return Optional.empty();
        }
        Room room = turn.view().use().room(turn.nowMs(), team.id(), quota);
        if (room.admits(units, SplitMix.unit(turn.randomBits()))) {
            return Optional.empty();
        }
        turn.raise(new ShareEvent.Refused(team.id(), units));
        long waitMs = Math.round(room.over(units) / quota.ratePerSecond() * MS_PER_SECOND);
        long retryMs = turn.withJitter(Math.max(MIN_RETRY_AFTER_MS, waitMs));
        Map<String, Object> inputs = new LinkedHashMap<>();
        inputs.put("team", team.id());
        inputs.put("units", units);
        inputs.put("used", Math.round(room.used()));
        inputs.put("limit", Math.round(room.limit()));
        inputs.put("asked", Math.round(room.asked()));
        inputs.put("nodes_heard", room.heard());
        return Optional.of(new Refusal(TOO_MANY, "over_quota", retryMs, inputs));
    }

    /** Counts a request that is taken, also while it waits: requests that wait may all be placed at once. */
    static void spend(RequestReduction turn, ActiveRequest exchange) {
        Team team = Policies.team(turn.view(), exchange.call().team());
        turn.raise(new ShareEvent.Spent(exchange.call().team(), units(exchange, team.quota())));
    }

    private static long units(ActiveRequest exchange, Quota quota) {
        return quota.requestUnits(exchange.call()
                .completion()
                .map(c -> (long) c.promptTokens() + c.maxTokens())
                .orElse(-1L));
    }
}
