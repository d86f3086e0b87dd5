package org.fuchsiadeck.core.rollout;

import java.lang.management.ManagementFactory;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.AttemptObserved;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;

/**
 * Measures the processor time of an aggregator node by the number of peers that report evidence to it. The arguments are
 * the numbers of peers, such as {@code 3 8 32 370}.
 */
public final class RolloutBenchmark {
    /** Attempts in the evidence that each peer reports. */
    private static final int ATTEMPTS = 2_000;
    /** Repetitions of each measured operation, over which the processor time is averaged. */
    private static final int ROUNDS = 100;

    private static final int REPEATS = 3;
    private static final double NS_PER_US = 1_000;

    private final RolloutReducer reducer = new RolloutReducer();
    private final SplittableRandom random = new SplittableRandom(1);
    private final View view;
    private final Evidence evidence;
    private RolloutState state;

    private RolloutBenchmark(int peers) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 0; i < peers; i++) {
            NodeId id = new NodeId("n" + i);
            alive.put(id, new Peers.Peer(id, new Address("127.0.0.1", 1), new Zone("z")));
        }
        Identity self = new Identity(new NodeId("self"), new Zone("z"), new Address("127.0.0.1", 1), 1);
        view = new View(
                self,
                0,
                RolloutFixtures.START_MS,
                Configuration.NONE,
                RolloutState.initial().shares(),
                new Peers(alive));
        evidence = createEvidence();
        state = RolloutState.initial()
                .withSaved(RolloutRegistry.EMPTY.with(RolloutFixtures.rollout(1, RolloutStage.HALF)), 1)
                .withKnown();
    }

    /**
     * Runs the measurement; the last of three repeats counts.
     *
     * @param args the numbers of peers
     */
    public static void main(String[] args) {
        for (String peers : args) {
            for (int i = 0; i < REPEATS; i++) {
                new RolloutBenchmark(Integer.parseInt(peers)).run(i == REPEATS - 1);
            }
        }
    }

    private void run(boolean print) {
        int peers = view.peers().alive().size();
        long startNs = cpuNs();
        for (int round = 0; round < ROUNDS; round++) {
            for (NodeId from : view.peers().alive().keySet()) {
                reduce(new PeerReceived(from, new RolloutMessage.Observed("assistant", 1, evidence, evidence)));
            }
        }
        double reportUs = elapsedUs(startNs) / ROUNDS / Math.max(1, peers);
        startNs = cpuNs();
        for (int round = 0; round < ROUNDS; round++) {
            reduce(new RolloutEvent.Tick());
            reduce(new PlatformEvent.CallFailed("rollout/read/1", "outage", true));
        }
        double tickUs = elapsedUs(startNs) / ROUNDS;
        startNs = cpuNs();
        for (int round = 0; round < ROUNDS; round++) {
            reduce(RolloutFixtures.attempt("v2", "notice", Verdict.FAILED, -1));
        }
        double badAnswerUs = elapsedUs(startNs) / ROUNDS;
        if (print) {
            System.out.printf(
                    "%d peers: report %.0f us, tick %.0f us, bad answer %.0f us, condemned %b%n",
                    peers,
                    reportUs,
                    tickUs,
                    badAnswerUs,
                    !state.shares().condemned().isEmpty());
        }
    }

    private void reduce(Event event) {
        state = reducer.reduce(state, view, event).state();
    }

    private Evidence createEvidence() {
        Evidence evidence = Evidence.EMPTY;
        for (int i = 0; i < ATTEMPTS; i++) {
            String route = "route-" + random.nextInt(4);
            String version = random.nextBoolean() ? "v1" : "v2";
            long firstByteMs = 20 + random.nextInt(400);
            double perTokenMs = 8 + 20 * random.nextDouble();
            int load = random.nextInt(16);
            RolloutStage stage = RolloutStage.values()[random.nextInt(3)];
            evidence = evidence.withAttempt(
                    new AttemptObserved(
                            route, RolloutFixtures.backend(version), Verdict.GOOD, firstByteMs, perTokenMs, load),
                    stage);
        }
        return evidence;
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double elapsedUs(long startNs) {
        return (cpuNs() - startNs) / NS_PER_US;
    }
}
