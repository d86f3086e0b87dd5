package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Rendezvous;

/**
 * Chooses the server that reads least for a request among those that give its first token in time.
 *
 * <p>Answers prompts of which thousands of tokens are shared by requests that reach different nodes, beside short ones
 * that wait behind them: each shared prefix has a home, the same for all nodes, and goes elsewhere when its home has so
 * much to read that the first token would be late. Prompts of other nodes count like this node's own. In a large fleet
 * each node compares a few random servers with the homes. Long prompts delay all that runs beside them, so that reading
 * a prefix once instead of once at each server is what keeps a rush short.
 */
final class AffinityRouter implements Router {
    /** By how much an attempt in progress delays the first token of another one, to the order of magnitude. */
    private static final double BUSY_MS = 12;

    /** Up to so many nodes a node's own sends and the others' reports tell well enough which server is least busy. */
    private static final int FEW_NODES = 16;

    /**
     * Servers that each of many nodes compares, beside the homes. If all compared all of them by the same report, all would
     * send to the same server until the next one.
     */
    private static final int PICKS = 3;

    /**
     * Part of the time to the first token that callers expect which may pass before the prompt is read; the rest is left for
     * reading it.
     */
    private static final double SLACK = 0.25;

    /** What waiting within the slack counts for, against time that a server needs to read: little, so that it decides among equals. */
    private static final double WITHIN_SLACK = 0.1;

    /** Time over the network to another zone and back, and a price for the bytes. */
    private static final double ZONE_MS = 2;

    @Override
    public Option<Choice> choose(Candidates candidates, RoutingContext query) {
        List<BackendId> homes = homes(candidates, query);
        Choice best = null;
        for (BackendStatus server : considered(candidates, query, homes)) {
            best = better(best, server, costMs(server, query, homes));
        }
        return Option.of(best).map(c -> c.withUnread(unread(c.server(), query, homes)));
    }

    private static Collection<BackendStatus> considered(
            Candidates candidates, RoutingContext query, List<BackendId> homes) {
        int size = candidates.ids().size();
        if (size == 0) {
            return List.of();
        }
        boolean all = query.nodeCount() <= FEW_NODES;
        Map<BackendId, BackendStatus> found = new LinkedHashMap<>();
        if (!all) {
            homes.forEach(id -> candidates.usable().apply(id).forEach(s -> found.put(id, s)));
        }
        int picks = all ? 1 : PICKS;
        for (int pick = 0; pick < picks; pick++) {
            int first = SplitMix.below(SplitMix.draw(query.seed(), pick), size);
            boolean open = true;
            for (int i = 0; i < size && open; i++) {
                BackendId id = candidates.ids().get((first + i) % size);
                Option<BackendStatus> server = candidates.usable().apply(id);
                server.forEach(s -> found.put(id, s));
                open = all || server.isEmpty();
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

    private static double costMs(BackendStatus server, RoutingContext query, List<BackendId> homes) {
        double weight = query.weight().applyAsDouble(server.backend());
        int elsewhere = query.inFlightElsewhere().applyAsInt(server.backend());
        double busy = server.inFlight() + Math.max(0, elsewhere);
        double zone = server.backend().zone().equals(query.zone()) ? 0 : ZONE_MS;
        double overfull = Math.max(0, busy - server.backend().slots());
        double ahead = server.unread() + query.unreadElsewhere().applyAsInt(server.backend());
        double waitMs = ((busy + overfull) * BUSY_MS + ahead / EngineTime.PREFILL_TOKENS_PER_MS) / weight + zone;
        double readMs = unread(server, query, homes) / EngineTime.PREFILL_TOKENS_PER_MS / weight;
        double slackMs = SLACK * query.targetMs();
        return readMs + Math.max(0, waitMs - slackMs) + WITHIN_SLACK * Math.min(waitMs, slackMs);
    }

    private static int unread(BackendStatus server, RoutingContext query, List<BackendId> homes) {
        return Math.max(0, query.prompt().tokens() - kept(server.backend().id(), query, homes));
    }

    /** Tokens that a server is expected to keep: those that this node sent there, and those whose home it is. */
    private static int kept(BackendId id, RoutingContext query, List<BackendId> homes) {
        List<Integer> lengths = query.prompt().prefixTokens();
        for (int i = lengths.size() - 1; i >= 0; i--) {
            boolean home = i < homes.size() && homes.get(i).equals(id);
            if (home || query.sent().wasSentTo(query.prefixHashes().get(i), id)) {
                return lengths.get(i);
            }
        }
        return 0;
    }

    /** The homes of a prompt's prefixes but for the whole prompt, which no other request shares. */
    private static List<BackendId> homes(Candidates candidates, RoutingContext query) {
        int shared = query.prompt().prefixTokens().size() - 1;
        List<BackendId> homes = new ArrayList<>();
        for (int i = 0; i < shared && !candidates.ids().isEmpty(); i++) {
            homes.add(home(candidates, query.prefixHashes().get(i)));
        }
        return homes;
    }

    private static BackendId home(Candidates candidates, long prefix) {
        BackendId best = null;
        long most = 0;
        for (BackendId id : candidates.ids()) {
            long score = SplitMix.mix(prefix ^ Rendezvous.hash(id.value()));
            if (best == null || Long.compareUnsigned(score, most) > 0) {
                best = id;
                most = score;
            }
        }
        return best;
    }
}
