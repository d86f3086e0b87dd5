package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Compares two random servers, and the servers that probably have the prompt's longest known prefix cached, and chooses
 * the one with the lowest score. The score combines load, cached prefix, availability zone and price.
 */
final class BetterOfTwoRouter implements Router {
    /**
     * Largest load difference that a cached prefix outweighs, in requests per slot. It bounds the load imbalance that
     * affinity causes.
     */
    private static final double PREFIX_WEIGHT = 0.5;

    /** Penalty for another availability zone, in requests per slot. */
    private static final double ZONE_WEIGHT = 0.05;

    /** Penalty for a price equal to the mean of the compared servers, in requests per slot. */
    private static final double PRICE_WEIGHT = 0.1;

    @Override
    public Option<Choice> choose(Candidates candidates, RoutingContext context) {
        List<BackendStatus> picks = picks(candidates, context);
        if (picks.isEmpty()) {
            return Option.none();
        }
        double meanPrice = picks.stream()
                .mapToDouble(s -> s.backend().pricePerHour())
                .average()
                .orElse(0);
        Choice best = null;
        for (BackendStatus pick : picks) {
            best = better(best, pick, score(pick, context, meanPrice));
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
        boolean isRunnerUp = best.runnerUp().isEmpty() || score < best.runnerUpScore();
        return isRunnerUp
                ? new Choice(
                        best.server(), best.score(), Optional.of(pick.backend().id()), score)
                : best;
    }

    private static List<BackendStatus> picks(Candidates candidates, RoutingContext context) {
        int size = candidates.ids().size();
        List<BackendStatus> picks = new ArrayList<>();
        if (size == 0) {
            return picks;
        }
        int first = candidates.nextUsable(SplitMix.below(SplitMix.draw(context.seed(), 0), size));
        if (first < 0) {
            return picks;
        }
        picks.add(candidates.get(first));
        int second = candidates.nextUsable((first + 1 + SplitMix.below(SplitMix.draw(context.seed(), 1), size)) % size);
        if (second == first) {
            second = candidates.nextUsable((first + 1) % size);
        }
        if (second != first) {
            picks.add(candidates.get(second));
        }
        for (BackendId holder : context.sent().holders(context.prefixHashes())) {
            candidates.usable().apply(holder).filter(s -> !picks.contains(s)).forEach(picks::add);
        }
        return picks;
    }

    /**
     * Returns the load, normalized to a server of weight 1 and usual speed. The request to be placed is counted, so that an idle server
     * of greater weight is preferred to an idle one of lesser weight.
     */
    private static double normalizedLoad(BackendStatus server, RoutingContext context) {
        double load = server.loadAt(context.nowMs());
        double oneRequest = 1.0 / server.backend().slots();
        double weight = context.weight().applyAsDouble(server.backend())
                * context.estimates().speed().applyAsDouble(server.backend());
        return (load + oneRequest) / weight - oneRequest;
    }

    private static double score(BackendStatus server, RoutingContext context, double meanPrice) {
        double load = normalizedLoad(server, context);
        double prefix = context.sent()
                .matchedFraction(context.prefixHashes(), server.backend().id());
        double zone = server.backend().zone().equals(context.zone()) ? 0 : ZONE_WEIGHT;
        double price = meanPrice > 0 ? PRICE_WEIGHT * server.backend().pricePerHour() / meanPrice : 0;
        return load - PREFIX_WEIGHT * prefix + zone + price;
    }
}
