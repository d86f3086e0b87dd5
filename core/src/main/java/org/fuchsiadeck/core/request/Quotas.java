package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.share.ShareEvent;
import org.fuchsiadeck.core.share.ShareState;
import org.fuchsiadeck.core.share.ShareState.QuotaStatus;

/**
 * Enforces the quotas of teams. A quota applies to all nodes together.
 */
final class Quotas {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final double MS_PER_SECOND = 1_000;

    /** Longest delay that the present demand of a team leads to: it changes within seconds. */
    private static final long MAX_DRAIN_MS = 2_000;

    private Quotas() {}

    /** Returns the refusal of a request that exceeds its team's quota, or empty if the request is admitted. */
    static Optional<Refusal> refusal(RequestReduction reduction, ActiveRequest request) {
        Team team = Policies.team(reduction.view(), request.call().team());
        Quota quota = team.quota();
        long units = units(request, quota);
        if (!quota.isLimited()) {
            return Optional.empty();
        }
        boolean paced = SharedScheduling.isOnForAnyService(reduction);
        ShareState usage = reduction.view().usage();
        QuotaStatus status = paced
                ? usage.pacedQuotaStatus(reduction.nowMs(), team.id(), quota)
                : usage.quotaStatus(reduction.nowMs(), team.id(), quota);
        if (status.admits(units, SplitMix.toFraction(reduction.randomBits()))) {
            return Optional.empty();
        }
        reduction.raise(new ShareEvent.Refused(team.id(), units));
        long waitMs = Math.round(status.excess(units) / quota.ratePerSecond() * MS_PER_SECOND);
        long drainMs = Math.min(MAX_DRAIN_MS, status.drainMs());
        long retryMs = reduction.withJitter(Math.max(MIN_RETRY_AFTER_MS, Math.max(waitMs, drainMs)));
        Map<String, Object> inputs = new LinkedHashMap<>();
        inputs.put("team", team.id());
        inputs.put("units", units);
        inputs.put("used", Math.round(status.used()));
        inputs.put("limit", Math.round(status.limit()));
        inputs.put("asked", Math.round(status.demand()));
        if (paced) {
            inputs.put("available", Math.round(status.available()));
        }
        inputs.put("nodes_heard", status.reportingNodes());
        return Optional.of(new Refusal(TOO_MANY_REQUESTS, "over_quota", retryMs, inputs));
    }

    /**
     * Charges an accepted request to its team's quota. Queued requests are charged too, since all of them may be
     * dispatched at once.
     */
    static void charge(RequestReduction reduction, ActiveRequest request) {
        Team team = Policies.team(reduction.view(), request.call().team());
        reduction.raise(new ShareEvent.Spent(request.call().team(), units(request, team.quota())));
    }

    private static long units(ActiveRequest request, Quota quota) {
        return quota.requestUnits(request.call()
                .completion()
                .map(c -> (long) c.promptTokens() + c.maxTokens())
                .orElse(-1L));
    }
}
