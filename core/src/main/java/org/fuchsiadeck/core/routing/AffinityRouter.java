package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Routes each request to the backend server that has the fewest prompt tokens to process for it, among the servers that
 * can return the first token in time.
 *
 * <p>Intended for prompts that share prefixes of thousands of tokens and arrive at different nodes, mixed with short
 * prompts that queue behind them. Each shared prefix has an owner, chosen by rendezvous hashing and therefore the same
 * on all nodes. A request goes to another server if the owner has so many unread tokens that the first token would be
 * late; the unread tokens of other nodes' requests count like this node's own. In a large deployment each node compares
 * only a few random servers with the owners. Long prompts delay all requests on the same server, so processing a shared
 * prefix once instead of on each server shortens load peaks. If an availability zone was picked for the request, only
 * the servers of that zone are compared, and each zone has an owner of each prefix.
 */
final class AffinityRouter implements Router {
    /** Delay of the first token per attempt in progress on the same server, in milliseconds; an order of magnitude. */
    private static final double BUSY_MS = 12;

    /**
     * Largest number of nodes that compare all servers. Up to this number a node's own attempts and the reports of the
     * others identify the least busy server accurately enough.
     */
    private static final int MAX_NODES_FOR_FULL_COMPARISON = 16;

    /**
     * Random servers that a node compares, in addition to the owners, if there are many nodes. If all nodes compared
     * all servers by the same report, all would send to the same server until the next report.
     */
    private static final int RANDOM_PICKS = 3;

    /**
     * Fraction of the expected time to first token that may pass before the prompt is processed. The rest is left for
     * processing it.
     */
    private static final double SLACK = 0.25;

    /**
     * Cost factor of waiting within the slack, relative to time spent on processing the prompt. It is small, so that it
     * decides only between servers that are otherwise equal.
     */
    private static final double WITHIN_SLACK_WEIGHT = 0.1;

    @Override
    public Option<Choice> choose(Candidates candidates, RoutingContext context) {
        Option<Choice> local =
                context.estimates().zoneServers().isPresent() ? chooseInZone(candidates, context) : Option.none();
        return local.orElse(() -> chooseAmong(candidates, context));
    }

    /**
     * Chooses among the servers of the picked zone, which has its own owner of each prefix. The owner over all zones
     * takes the request only if it would have to process fewer tokens, and that saves more than the transfer costs: it
     * does not take it for a shorter wait, as all nodes would then send there until the next report.
     */
    private static Option<Choice> chooseInZone(Candidates candidates, RoutingContext context) {
        Set<BackendId> members = context.estimates().zoneServers().orElseThrow();
        Candidates inZone = new Candidates(candidates.ids().filter(members::contains), candidates.usable());
        Option<Choice> local = chooseAmong(inZone, context);
        List<BackendId> owners = owners(candidates, context);
        if (local.isEmpty() || owners.isEmpty()) {
            return local;
        }
        BackendId owner = owners.get(owners.size() - 1);
        Option<Choice> remote = candidates
                .usable()
                .apply(owner)
                .filter(s -> !members.contains(owner) && !s.health().isTrialDue(context.nowMs()))
                .map(s -> Choice.withoutRunnerUp(s, costMs(s, context, owners)).withUnread(unread(s, context, owners)));
        return remote.filter(r -> readsLess(r, local.get(), context)
                        && r.score() < local.get().score())
                .map(r -> new Choice(
                        r.server(),
                        r.score(),
                        Optional.of(local.get().server().backend().id()),
                        local.get().score(),
                        r.unread()))
                .orElse(local);
    }

    private static boolean readsLess(Choice remote, Choice local, RoutingContext context) {
        double savedMs =
                (local.unread() - remote.unread()) / context.estimates().prefillTokensPerMs();
        return savedMs
                > context.estimates().zoneCostMs().applyAsDouble(remote.server().backend());
    }

    private static Option<Choice> chooseAmong(Candidates candidates, RoutingContext context) {
        List<BackendId> owners = owners(candidates, context);
        Choice best = null;
        for (BackendStatus server : compared(candidates, context, owners)) {
            best = better(best, server, costMs(server, context, owners));
        }
        return Option.of(best).map(c -> c.withUnread(unread(c.server(), context, owners)));
    }

    private static Collection<BackendStatus> compared(
            Candidates candidates, RoutingContext context, List<BackendId> owners) {
        int size = candidates.ids().size();
        if (size == 0) {
            return List.of();
        }
        boolean all = context.nodeCount() <= MAX_NODES_FOR_FULL_COMPARISON;
        Map<BackendId, BackendStatus> found = new LinkedHashMap<>();
        if (!all) {
            owners.forEach(id -> candidates.usable().apply(id).forEach(s -> found.put(id, s)));
        }
        int picks = all ? 1 : RANDOM_PICKS;
        for (int pick = 0; pick < picks; pick++) {
            int first = SplitMix.below(SplitMix.draw(context.seed(), pick), size);
            boolean searching = true;
            for (int i = 0; i < size && searching; i++) {
                BackendId id = candidates.ids().get((first + i) % size);
                Option<BackendStatus> server = candidates.usable().apply(id);
                server.forEach(s -> found.put(id, s));
                searching = all || server.isEmpty();
            }
        }
        return found.values();
    }

    private static Choice better(Choice best, BackendStatus server, double score) {
        if (best == null) {
            return Choice.withoutRunnerUp(server, score);
        }
        return score < best.score()
                ? new Choice(server, score, Optional.of(best.server().backend().id()), best.score())
                : best;
    }

    private static double costMs(BackendStatus server, RoutingContext context, List<BackendId> owners) {
        ServerEstimates estimates = context.estimates();
        double weight = context.weight().applyAsDouble(server.backend())
                * estimates.speed().applyAsDouble(server.backend());
        int inFlightElsewhere = context.inFlightElsewhere().applyAsInt(server.backend());
        double inFlight = server.inFlight() + Math.max(0, inFlightElsewhere);
        double zone = estimates.zoneCostMs().applyAsDouble(server.backend());
        double aboveSlots = Math.max(0, inFlight - server.backend().slots());
        double unreadAhead = server.unread() + context.unreadElsewhere().applyAsInt(server.backend());
        boolean priced = estimates.zoneServers().isPresent();
        double waitMs = ((inFlight + aboveSlots) * BUSY_MS + unreadAhead / estimates.prefillTokensPerMs()) / weight
                + (priced ? 0 : zone);
        double readMs = unread(server, context, owners) / estimates.prefillTokensPerMs() / weight;
        if (estimates.baseMs() > 0 && context.prompt().tokens() == 0) {
            // All slots work at once; beyond them, requests wait for a slot.
            double rounds = Math.max(1, (inFlight + 1) / server.backend().slots());
            readMs += rounds * estimates.baseMs() / weight;
        }
        double slackMs = SLACK * context.targetMs();
        double costMs = readMs + Math.max(0, waitMs - slackMs) + WITHIN_SLACK_WEIGHT * Math.min(waitMs, slackMs);
        return priced ? costMs + zone : costMs;
    }

    private static int unread(BackendStatus server, RoutingContext context, List<BackendId> owners) {
        return Math.max(0, context.prompt().tokens() - cached(server.backend().id(), context, owners));
    }

    /**
     * Estimates the prompt tokens that a server has cached: the longest prefix that this node sent there or that the
     * server owns.
     */
    private static int cached(BackendId id, RoutingContext context, List<BackendId> owners) {
        List<Integer> lengths = context.prompt().prefixTokens();
        for (int i = lengths.size() - 1; i >= 0; i--) {
            boolean owned = i < owners.size() && owners.get(i).equals(id);
            if (owned || context.sent().wasSentTo(context.prefixHashes().get(i), id)) {
                return lengths.get(i);
            }
        }
        return 0;
    }

    /** Returns the owner of each prefix except the whole prompt, which no other request shares. */
    private static List<BackendId> owners(Candidates candidates, RoutingContext context) {
        int shared = context.prompt().prefixTokens().size() - 1;
        if (shared <= 0 || candidates.ids().isEmpty()) {
            return List.of();
        }
        PrefixOwners servers =
                PrefixOwners.of(candidates.ids(), context.estimates().ownerWeight());
        List<BackendId> owners = new ArrayList<>();
        for (int i = 0; i < shared; i++) {
            owners.add(servers.owner(context.prefixHashes().get(i)));
        }
        return owners;
    }
}
