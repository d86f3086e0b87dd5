package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Compares two seeded picks and the latest server that should hold the prompt's prefix.
 */
final class BetterOfTwoRouter implements Router {
    /** The most that a held prefix makes up for, in requests for each slot. It bounds the load that affinity causes. */
    private static final double PREFIX_WEIGHT = 0.5;

    private static final double ZONE_WEIGHT = 0.05;
    private static final double PRICE_WEIGHT = 0.1;

    @Override
    public Option<Choice> choose(Candidates candidates, RoutingContext query) {
        List<BackendStatus> picks = picks(candidates, query);
        if (picks.isEmpty()) {
            return Option.none();
        }
        double price = picks.stream()
                .mapToDouble(s -> s.backend().pricePerHour())
                .average()
                .orElse(0);
        Choice best = null;
        for (BackendStatus pick : picks) {
            best = better(best, pick, score(pick, query, price));
        }
        return Option.of(best);
    }

    private static Choice better(Choice best, BackendStatus pick, double score) {
        if (best == null) {
            return Choice.withoutRunnerUp(pick, score);
        }
        if (score < best.score()) {
            return new Choice(pick, score, Optional.of(best.server().backend().id()), best.score());
        }
        boolean closer = best.runnerUp().isEmpty() || score < best.runnerUpScore();
        return closer
                ? new Choice(
                        best.server(), best.score(), Optional.of(pick.backend().id()), score)
                : best;
    }

    private static List<BackendStatus> picks(Candidates candidates, RoutingContext query) {
        int size = candidates.ids().size();
        List<BackendStatus> picks = new ArrayList<>();
        if (size == 0) {
            return picks;
        }
        int first = candidates.nextUsable(SplitMix.below(SplitMix.draw(query.seed(), 0), size));
        if (first < 0) {
            return picks;
        }
        picks.add(candidates.get(first));
        int second = candidates.nextUsable((first + 1 + SplitMix.below(SplitMix.draw(query.seed(), 1), size)) % size);
        if (second == first) {
            second = candidates.nextUsable((first + 1) % size);
        }
        if (second != first) {
            picks.add(candidates.get(second));
        }
        for (BackendId holder : query.sent().holders(query.prefixHashes())) {
            candidates.usable().apply(holder).filter(s -> !picks.contains(s)).forEach(picks::add);
        }
        return picks;
    }

    /**
     * Returns the load as a server of the usual weight would have it. The request to come is counted, so that an idle
     * server of a greater weight goes before an idle one of a lesser weight.
     */
    private static double weighted(BackendStatus server, RoutingContext query) {
        double load = server.loadAt(query.nowMs());
        double own = 1.0 / server.backend().slots();
        return (load + own) / query.weight().applyAsDouble(server.backend()) - own;
    }

    private static double score(BackendStatus server, RoutingContext query, double meanPrice) {
        double load = weighted(server, query);
        double prefix = query.sent()
                .matchedFraction(query.prefixHashes(), server.backend().id());
        double zone = server.backend().zone().equals(query.zone()) ? 0 : ZONE_WEIGHT;
        double price = meanPrice > 0 ? PRICE_WEIGHT * server.backend().pricePerHour() / meanPrice : 0;
        return load - PREFIX_WEIGHT * prefix + zone + price;
    }
}
