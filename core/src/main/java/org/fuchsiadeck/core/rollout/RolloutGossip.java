package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;

/**
 * Gossip about rollouts between entry nodes: evidence goes to a few aggregators, condemned versions go to all nodes, and
 * the registry goes to nodes with an older revision.
 */
final class RolloutGossip {
    private static final int AGGREGATORS = 2;
    /** Number of peers from which a node no longer reports on each tick. */
    private static final int EAGER_PEERS = 32;

    private static final int DIGEST_TICKS = 4;

    /** Revision in the digest of a node that does not know the registry. */
    private static final long UNKNOWN = -1;

    private RolloutGossip() {}

    static Step<RolloutState> onMessage(RolloutState state, View view, PeerReceived received) {
        NodeId from = received.from();
        if (received.message() instanceof RolloutMessage.Condemned condemned) {
            return onCondemnations(state, view, condemned.condemnations());
        }
        if (received.message() instanceof RolloutMessage.Observed seen) {
            return onObserved(state, view, from, seen);
        }
        if (received.message() instanceof RolloutMessage.Digest digest) {
            return Step.of(state, digestReply(state, from, digest).toArray(Effect[]::new));
        }
        if (received.message() instanceof RolloutMessage.Offer offer) {
            return RegistrySync.onRegistry(state, view, offer.revision(), offer.text());
        }
        return Step.of(state);
    }

    static Step<RolloutState> onCondemnations(RolloutState state, View view, List<Condemnation> found) {
        List<Condemnation> fresh = found.stream()
                .filter(c -> !state.book()
                        .condemned()
                        .get(c.version())
                        .exists(known -> Condemnation.merge(known, c).equals(known)))
                .toList();
        if (fresh.isEmpty()) {
            return Step.of(state);
        }
        List<Effect> out = new ArrayList<>();
        for (Condemnation c : fresh) {
            String detail = c.version() + " in rollout " + c.number() + ": " + c.reason();
            out.add(new Effect.Log(EventCode.VERSION_CONDEMNED, detail));
        }
        for (NodeId to : view.peers().gossipTargets(view.self().id() + "/" + state.ticks())) {
            out.add(new Effect.Send(to, new RolloutMessage.Condemned(fresh)));
        }
        return new Step<>(state.withCondemnations(fresh), out);
    }

    static List<Effect> createReports(RolloutState state, View view) {
        List<Effect> out = new ArrayList<>();
        state.own()
                .filter((service, seen) -> isReportDue(state, view, service, seen))
                .forEach((service, seen) -> {
                    RolloutMessage message = new RolloutMessage.Observed(
                            service,
                            seen.number(),
                            seen.total(),
                            seen.advancedTo(view.nowMs()).recent());
                    for (NodeId to : aggregators(view, service)) {
                        if (!to.equals(view.self().id())) {
                            out.add(new Effect.Send(to, message));
                        }
                    }
                });
        List<NodeId> peers = List.copyOf(view.peers().alive().keySet());
        if ((!state.known() || state.ticks() % DIGEST_TICKS == 0) && !peers.isEmpty()) {
            long turn = state.ticks() / DIGEST_TICKS
                    + Rendezvous.hash(view.self().id().value());
            NodeId to = peers.get((int) Math.floorMod(turn, (long) peers.size()));
            int known = state.book().condemned().size();
            out.add(new Effect.Send(to, new RolloutMessage.Digest(state.known() ? state.revision() : UNKNOWN, known)));
        }
        return out;
    }

    /**
     * Returns whether a report is due: on each tick while there are few nodes or the new version fails, and otherwise at a
     * rate that keeps the number of reports per aggregator independent of the number of nodes.
     */
    private static boolean isReportDue(RolloutState state, View view, String service, Observations seen) {
        long every = 1 + view.peers().alive().size() / EAGER_PEERS;
        long offset = Rendezvous.hash(view.self().id().value());
        return Math.floorMod(state.ticks() + offset, every) == 0
                || state.book().rollouts().get(service).exists(r -> hasFailures(r, seen.advancedTo(view.nowMs())));
    }

    private static boolean hasFailures(Rollout rollout, Observations seen) {
        return AttemptCounts.groupedBy(seen.recent(), rollout.newVersion(), Evidence.Cell::version).values().stream()
                .anyMatch(c -> c.bad() > 0);
    }

    static List<NodeId> aggregators(View view, String service) {
        List<NodeId> nodes = new ArrayList<>(view.peers().alive().keySet());
        nodes.add(view.self().id());
        List<NodeId> ranked = Rendezvous.rank("rollout/" + service, nodes, NodeId::value);
        return ranked.subList(0, Math.min(AGGREGATORS, ranked.size()));
    }

    private static Step<RolloutState> onObserved(
            RolloutState state, View view, NodeId from, RolloutMessage.Observed seen) {
        boolean current = state.book().rollouts().get(seen.service()).exists(r -> r.number() == seen.number());
        if (!current) {
            return Step.of(state);
        }
        Observations o = Observations.fromReport(seen.number(), view.nowMs(), seen.total(), seen.recent());
        return Step.of(state.withOther(seen.service(), from, o));
    }

    /** Answers a digest. Condemned versions precede the registry, since a node that has the registry serves callers. */
    private static List<Effect> digestReply(RolloutState state, NodeId from, RolloutMessage.Digest digest) {
        List<Effect> out = new ArrayList<>();
        Collection<Condemnation> known = state.book().condemned().values().toJavaList();
        if (!known.isEmpty()) {
            out.add(new Effect.Send(from, new RolloutMessage.Condemned(List.copyOf(known))));
        }
        if (state.known() && digest.revision() < state.revision()) {
            String text = RegistryFormat.serialize(state.saved());
            out.add(new Effect.Send(from, new RolloutMessage.Offer(state.revision(), text)));
        }
        return out;
    }
}
