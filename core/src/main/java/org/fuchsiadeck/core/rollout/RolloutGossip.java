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
 * Exchanges rollout data between entry nodes by gossip. Evidence goes to a few aggregators, condemned versions go to all
 * nodes, and the registry goes to nodes with an older revision.
 */
final class RolloutGossip {
    /** Number of nodes that receive the evidence on a service. */
    private static final int AGGREGATORS = 2;
    /** The interval between a node's reports grows by one tick for each of this many peers. */
    private static final int PEERS_PER_INTERVAL_TICK = 32;

    /** Interval between the digests of a node that knows the registry. */
    private static final int DIGEST_INTERVAL_TICKS = 4;

    /** Revision in the digest of a node that does not know the registry. */
    private static final long UNKNOWN_REVISION = -1;

    private RolloutGossip() {}

    static Step<RolloutState> onMessage(RolloutState state, View view, PeerReceived received) {
        NodeId from = received.from();
        if (received.message() instanceof RolloutMessage.Condemned condemned) {
            return onCondemnations(state, view, condemned.condemnations());
        }
        if (received.message() instanceof RolloutMessage.Observed observed) {
            return onObserved(state, view, from, observed);
        }
        if (received.message() instanceof RolloutMessage.Digest digest) {
            return Step.of(state, digestReply(state, from, digest).toArray(Effect[]::new));
        }
        if (received.message() instanceof RolloutMessage.Offer offer) {
            return RegistrySync.onRegistry(state, view, offer.revision(), offer.text());
        }
        return Step.of(state);
    }

    static Step<RolloutState> onCondemnations(RolloutState state, View view, List<Condemnation> condemnations) {
        List<Condemnation> changed = condemnations.stream()
                .filter(c -> !state.book()
                        .condemned()
                        .get(c.version())
                        .exists(known -> Condemnation.merge(known, c).equals(known)))
                .toList();
        if (changed.isEmpty()) {
            return Step.of(state);
        }
        List<Effect> effects = new ArrayList<>();
        for (Condemnation c : changed) {
            String detail = c.version() + " in rollout " + c.number() + ": " + c.reason();
            effects.add(new Effect.Log(EventCode.VERSION_CONDEMNED, detail));
        }
        for (NodeId target : view.peers().gossipTargets(view.self().id() + "/" + state.ticks())) {
            effects.add(new Effect.Send(target, new RolloutMessage.Condemned(changed)));
        }
        return new Step<>(state.withCondemnations(changed), effects);
    }

    /** Returns the effects that send evidence to the aggregators and a digest to one peer, each if it is due. */
    static List<Effect> createReports(RolloutState state, View view) {
        List<Effect> effects = new ArrayList<>();
        state.own()
                .filter((service, observations) -> isReportDue(state, view, service, observations))
                .forEach((service, observations) -> {
                    RolloutMessage message = new RolloutMessage.Observed(
                            service,
                            observations.number(),
                            observations.total(),
                            observations.advancedTo(view.nowMs()).recent());
                    for (NodeId target : aggregators(view, service)) {
                        if (!target.equals(view.self().id())) {
                            effects.add(new Effect.Send(target, message));
                        }
                    }
                });
        List<NodeId> peers = List.copyOf(view.peers().alive().keySet());
        if ((!state.known() || state.ticks() % DIGEST_INTERVAL_TICKS == 0) && !peers.isEmpty()) {
            long turn = state.ticks() / DIGEST_INTERVAL_TICKS
                    + Rendezvous.hash(view.self().id().value());
            NodeId target = peers.get((int) Math.floorMod(turn, (long) peers.size()));
            int condemnedCount = state.book().condemned().size();
            effects.add(new Effect.Send(
                    target,
                    new RolloutMessage.Digest(state.known() ? state.revision() : UNKNOWN_REVISION, condemnedCount)));
        }
        return effects;
    }

    /**
     * Returns whether a report is due: on each tick while there are few nodes or the new version fails, and otherwise at a
     * rate that keeps the number of reports per aggregator independent of the number of nodes.
     */
    private static boolean isReportDue(RolloutState state, View view, String service, Observations observations) {
        long intervalTicks = 1 + view.peers().alive().size() / PEERS_PER_INTERVAL_TICK;
        long offset = Rendezvous.hash(view.self().id().value());
        return Math.floorMod(state.ticks() + offset, intervalTicks) == 0
                || state.book()
                        .rollouts()
                        .get(service)
                        .exists(r -> hasFailures(r, observations.advancedTo(view.nowMs())));
    }

    private static boolean hasFailures(Rollout rollout, Observations observations) {
        return AttemptCounts.groupedBy(observations.recent(), rollout.newVersion(), Evidence.Cell::version)
                .values()
                .stream()
                .anyMatch(c -> c.bad() > 0);
    }

    static List<NodeId> aggregators(View view, String service) {
        List<NodeId> nodes = new ArrayList<>(view.peers().alive().keySet());
        nodes.add(view.self().id());
        List<NodeId> ranked = Rendezvous.rank("rollout/" + service, nodes, NodeId::value);
        return ranked.subList(0, Math.min(AGGREGATORS, ranked.size()));
    }

    private static Step<RolloutState> onObserved(
            RolloutState state, View view, NodeId from, RolloutMessage.Observed observed) {
        boolean current = state.book().rollouts().get(observed.service()).exists(r -> r.number() == observed.number());
        if (!current) {
            return Step.of(state);
        }
        Observations observations =
                Observations.fromReport(observed.number(), view.nowMs(), observed.total(), observed.recent());
        return Step.of(state.withOther(observed.service(), from, observations));
    }

    /**
     * Returns the reply to a digest. Condemned versions precede the registry, since a node that has the registry serves
     * callers.
     */
    private static List<Effect> digestReply(RolloutState state, NodeId from, RolloutMessage.Digest digest) {
        List<Effect> effects = new ArrayList<>();
        Collection<Condemnation> condemnations =
                state.book().condemned().values().toJavaList();
        if (!condemnations.isEmpty()) {
            effects.add(new Effect.Send(from, new RolloutMessage.Condemned(List.copyOf(condemnations))));
        }
        if (state.known() && digest.revision() < state.revision()) {
            String text = RegistryFormat.serialize(state.saved());
            effects.add(new Effect.Send(from, new RolloutMessage.Offer(state.revision(), text)));
        }
        return effects;
    }
}
