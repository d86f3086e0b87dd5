package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against condemnations that are lost and rollouts that stop at a stage. Both can come about when the network between
 * the nodes loses, repeats or reorders messages, and when the platform's service loses answers or has outages.
 */
class RolloutPropertyTest {
    private static final ServiceVersion BAD = new ServiceVersion("assistant", "v2");
    private static final int NODES = 5;
    private static final int STEPS = 400;

    @Property(tries = 60, seed = "20261204")
    void condemnationReachesEveryNodeAndIsNeverLifted(@ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, false);
        cluster.runUntilReady(0);
        for (int i = 0; i < 12; i++) {
            cluster.deliver(0, RolloutFixtures.attempt("v2", "notice", Verdict.FAILED, -1));
        }
        assertThat(cluster.states.get(0).book().activeCondemnation(BAD)).isPresent();
        cluster.run(STEPS);
        cluster.heal();
        cluster.run(STEPS);
        for (RolloutState state : cluster.states) {
            assertThat(state.book().activeCondemnation(BAD)).isPresent();
            assertThat(state.shares().condemned()).contains(BAD);
            assertThat(state.shares().services().get("assistant").newShare()).isZero();
        }
        assertThat(RegistryFormat.parse(cluster.stored)
                        .rollouts()
                        .get("assistant")
                        .get()
                        .stage())
                .isEqualTo(RolloutStage.TAKEN_BACK);
    }

    @Property(tries = 30, seed = "20261204")
    void condemnationReachesEveryNodeWhilePlatformServiceIsDown(@ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, false);
        cluster.run(STEPS / 4);
        cluster.heal();
        cluster.run(STEPS / 4);
        cluster.outage = true;
        for (int i = 0; i < 12; i++) {
            cluster.deliver(0, RolloutFixtures.attempt("v2", "notice", Verdict.FAILED, -1));
        }
        cluster.run(STEPS);
        for (RolloutState state : cluster.states) {
            assertThat(state.shares().condemned()).contains(BAD);
        }
    }

    @Property(tries = 30, seed = "20261204")
    void goodVersionTakesOverByTheDueTime(@ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, true);
        cluster.heal();
        cluster.run(3 * STEPS);
        cluster.wallMs = RolloutFixtures.DUE_MS;
        cluster.run(STEPS);
        Rollout rollout =
                RegistryFormat.parse(cluster.stored).rollouts().get("assistant").get();
        assertThat(rollout.stage()).isEqualTo(RolloutStage.FULL);
        for (RolloutState state : cluster.states) {
            assertThat(state.shares().services().get("assistant").newShare()).isEqualTo(1);
        }
    }

    @Property(tries = 10, seed = "20261204")
    void stageAdvancesOnEvidenceOfAllNodes(@ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, false);
        cluster.run(STEPS);
        cluster.heal();
        cluster.run(STEPS);
        for (int i = 0; i < 6 * NODES; i++) {
            cluster.deliver(i % NODES, RolloutFixtures.attempt("v1", "notice", Verdict.GOOD, 50));
            cluster.deliver(i % NODES, RolloutFixtures.attempt("v2", "notice", Verdict.GOOD, 50));
        }
        cluster.run(STEPS);
        cluster.wallMs = RolloutFixtures.DUE_MS;
        cluster.run(STEPS);
        assertThat(RegistryFormat.parse(cluster.stored)
                        .rollouts()
                        .get("assistant")
                        .get()
                        .stage())
                .isEqualTo(RolloutStage.FULL);
    }

    /**
     * Simulates nodes with rollout reducers, their network and the platform's service. Pending timers, messages and answers
     * are delivered one at a time in random order; while the cluster is lossy, messages and answers are also lost, messages
     * are repeated, and the service has outages.
     */
    private static final class SimulatedCluster {
        final SplittableRandom random;
        final boolean traffic;
        final List<RolloutState> states = new ArrayList<>();
        final List<Runnable> pending = new ArrayList<>();
        final RolloutReducer reducer = new RolloutReducer();
        String stored =
                RegistryFormat.serialize(RolloutRegistry.EMPTY.with(RolloutFixtures.rollout(1, RolloutStage.EARLY)));
        long revision = 5;
        long nowMs;
        long wallMs = RolloutFixtures.START_MS;
        boolean outage;
        boolean lossy = true;

        SimulatedCluster(long seed, boolean traffic) {
            random = new SplittableRandom(seed);
            this.traffic = traffic;
            for (int i = 0; i < NODES; i++) {
                states.add(RolloutState.initial());
            }
            for (int i = 0; i < NODES; i++) {
                deliver(i, new LifecycleEvent.Started());
            }
        }

        void heal() {
            lossy = false;
            outage = false;
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                nowMs += random.nextInt(100);
                wallMs += traffic ? 20 : 0;
                outage = lossy ? random.nextInt(10) < 3 : outage;
                if (traffic) {
                    String version = random.nextInt(3) == 0 ? "v2" : "v1";
                    deliver(random.nextInt(NODES), RolloutFixtures.attempt(version, "notice", Verdict.GOOD, 50));
                }
                deliverNext();
            }
        }

        void runUntilReady(int node) {
            for (int i = 0; i < 100 * STEPS && !states.get(node).unready().isEmpty(); i++) {
                run(1);
            }
            assertThat(states.get(node).unready()).isEmpty();
        }

        void deliverNext() {
            if (!pending.isEmpty()) {
                int index = random.nextInt(pending.size());
                pending.remove(index).run();
            }
        }

        void deliver(int node, Event event) {
            Step<RolloutState> step = reducer.reduce(states.get(node), view(node), event);
            states.set(node, step.state());
            step.effects().forEach(e -> run(node, e));
        }

        private void run(int node, Effect effect) {
            if (effect instanceof Effect.Schedule timer) {
                pending.add(() -> deliver(node, timer.event()));
            } else if (effect instanceof Effect.Send send) {
                int to = Integer.parseInt(send.to().value());
                int copies = lossy ? random.nextInt(3) : 1;
                for (int i = 0; i < copies; i++) {
                    pending.add(() -> deliver(to, new PeerReceived(id(node), send.message())));
                }
            } else if (effect instanceof PlatformEffect call) {
                pending.add(() -> deliver(node, answer(call)));
            }
        }

        private Event answer(PlatformEffect call) {
            if (outage) {
                return new PlatformEvent.CallFailed(call.tag(), "outage", true);
            }
            boolean lost = lossy && random.nextInt(3) == 0;
            Event answer = callService(call);
            return lost ? new PlatformEvent.CallFailed(call.tag(), "answer lost", true) : answer;
        }

        private Event callService(PlatformEffect call) {
            PlatformEvent.Entry entry = new PlatformEvent.Entry(RegistrySync.KEY, Optional.of(stored), revision);
            if (call instanceof PlatformEffect.Get get) {
                return new PlatformEvent.Found(get.tag(), Optional.of(entry), revision);
            }
            if (call instanceof PlatformEffect.Watch watch) {
                List<PlatformEvent.Entry> changes = watch.afterRevision() < revision ? List.of(entry) : List.of();
                return new PlatformEvent.Watched(watch.tag(), changes, revision, false);
            }
            PlatformEffect.Put put = (PlatformEffect.Put) call;
            if (put.expectedRevision().getAsLong() != revision) {
                return new PlatformEvent.Conflicted(put.tag(), revision);
            }
            stored = put.value();
            revision++;
            return new PlatformEvent.Written(put.tag(), revision);
        }

        private View view(int node) {
            TreeMap<NodeId, Peers.Peer> peers = new TreeMap<>();
            for (int i = 0; i < NODES; i++) {
                if (i != node) {
                    peers.put(id(i), new Peers.Peer(id(i), new Address("127.0.0.1", 1 + i), new Zone("norte")));
                }
            }
            Identity self = new Identity(id(node), new Zone("norte"), new Address("127.0.0.1", 1 + node), node);
            return new View(
                    self, nowMs, wallMs, Configuration.NONE, states.get(node).shares(), new Peers(peers));
        }

        private static NodeId id(int node) {
            return new NodeId(Integer.toString(node));
        }
    }
}
