package org.fuchsiadeck.core.quarantine;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against nodes that have no time for requests and configurations because backend servers lose many answers at once
 * and each loss is told to every node.
 */
class MassLossTest {
    private static final int NODES = 63;
    private static final int SERVERS = 112;
    private static final int LOSSES_PER_SECOND = 120;
    private static final int ANSWERS_PER_SECOND = 400;
    private static final int SECONDS = 4;

    /** The smallest instances have a third of a core; requests and all other work need most of it. */
    private static final double MAX_CORES = 0.1;

    private static final int MAX_MESSAGES_PER_NODE_AND_SECOND = 100;

    /** What a node sends in a second to the nodes that may have missed something: the latest 64 losses and their parts, twice. */
    private static final int MAX_SYNC_ENTRIES = 2 * 64 * 3;

    private static final long SETTLE_MS = 2_000;
    private static final int PASSED_ON_TO = 8;

    /** A loss is cleared by the answer of its server or of one of its two parts. */
    private static final int CLEARED_PER_LOSS = 3;

    private final QuarantineReducer reducer = new QuarantineReducer();
    private final Map<NodeId, QuarantineState> states = new TreeMap<>();
    private final Map<NodeId, View> views = new HashMap<>();
    private final Random random = new Random(43);
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final List<EventCode> logs = new ArrayList<>();
    private long order;
    private long nowMs = 1_000;
    private long cpuNanos;
    private int messages;
    private int entries;
    private long delayMs = 1;

    private record Due(long atMs, long order, NodeId node, Event event) {}

    @BeforeEach
    void startNodes() {
        for (int i = 0; i < NODES; i++) {
            states.put(new NodeId("n" + i), QuarantineState.initial());
        }
    }

    private View view(NodeId id) {
        View view = views.computeIfAbsent(id, this::newView);
        return new View(view.self(), nowMs, nowMs, Configuration.NONE, VersionShares.NONE, view.peers());
    }

    private View newView(NodeId id) {
        TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
        Zone zone = new Zone("z");
        states.keySet().forEach(n -> others.put(n, new Peers.Peer(n, new Address("127.0.0.1", 1), zone)));
        others.remove(id);
        Identity self = new Identity(id, zone, new Address("127.0.0.1", 1), 1);
        return new View(self, nowMs, nowMs, Configuration.NONE, VersionShares.NONE, new Peers(others));
    }

    private void at(long ms, NodeId node, Event event) {
        queue.add(new Due(ms, order++, node, event));
    }

    private void run(long untilMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= untilMs) {
            Due due = queue.remove();
            nowMs = Math.max(nowMs, due.atMs());
            View view = view(due.node());
            long startNanos = threads.getCurrentThreadCpuTime();
            Step<QuarantineState> step = reducer.reduce(states.get(due.node()), view, due.event());
            cpuNanos += threads.getCurrentThreadCpuTime() - startNanos;
            states.put(due.node(), step.state());
            step.effects().forEach(e -> apply(due.node(), e));
        }
        nowMs = untilMs;
    }

    private void apply(NodeId node, Effect effect) {
        if (effect instanceof Effect.Schedule schedule) {
            at(schedule.atMs(), node, schedule.event());
        } else if (effect instanceof Effect.Send send) {
            messages++;
            entries += entries((QuarantineNews) send.message());
            at(nowMs + delayMs, send.to(), new PeerReceived(node, send.message()));
        } else if (effect instanceof Effect.Log log) {
            logs.add(log.code());
        }
    }

    private static int entries(QuarantineNews news) {
        return news.losses().size()
                + news.quarantines().size()
                + news.answers().size()
                + news.servers().size();
    }

    private NodeId randomNode() {
        return new NodeId("n" + random.nextInt(NODES));
    }

    private List<String> randomParts() {
        return List.of("shared" + random.nextInt(30), "subject" + random.nextInt(1_500));
    }

    private PromptLoss randomLoss(int number, long atMs) {
        BackendId server = new BackendId("e" + random.nextInt(SERVERS) + "@0");
        return PromptLoss.of(server, new RequestId("r" + number), randomParts(), atMs - 200, atMs);
    }

    private void loseAndAnswer(long fromMs, int seconds) {
        for (int i = 0; i < LOSSES_PER_SECOND * seconds; i++) {
            long atMs = fromMs + random.nextInt(1_000 * seconds);
            at(atMs, randomNode(), new QuarantineEvent.Lost(randomLoss(i, atMs)));
        }
        for (int i = 0; i < ANSWERS_PER_SECOND * seconds; i++) {
            at(fromMs + random.nextInt(1_000 * seconds), randomNode(), new QuarantineEvent.Answered(randomParts()));
        }
    }

    @Test
    void manyLossesTakeLittleOfANodesProcessor() {
        loseAndAnswer(nowMs, 1);
        run(nowMs + 1_000);
        cpuNanos = 0;
        loseAndAnswer(nowMs, SECONDS);
        run(nowMs + 1_000L * SECONDS);
        assertThat(cpuNanos / 1e9 / SECONDS / NODES).isLessThan(MAX_CORES);
    }

    @Test
    void manyLossesMakeFewMessages() {
        loseAndAnswer(nowMs, SECONDS);
        run(nowMs + 1_000L * SECONDS);
        assertThat(messages / SECONDS / NODES).isLessThan(MAX_MESSAGES_PER_NODE_AND_SECOND);
    }

    /**
     * Ages get later by the time that a message takes, and losses that answers had cleared were taken for new ones then. They
     * went from node to node without end, on links that were full of them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 20, 100, 400})
    void newsEndsSoonAfterTheLastLoss(long delay) {
        delayMs = delay;
        loseAndAnswer(nowMs, SECONDS);
        run(nowMs + 1_000L * SECONDS + SETTLE_MS);
        entries = 0;
        run(nowMs + 1_000);
        assertThat(entries / NODES).isLessThanOrEqualTo(MAX_SYNC_ENTRIES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 20, 100, 400})
    void eachLossIsPassedOnOnce(long delay) {
        delayMs = delay;
        loseAndAnswer(nowMs, SECONDS);
        run(nowMs + 1_000L * SECONDS);
        int each = PASSED_ON_TO * (LOSSES_PER_SECOND + CLEARED_PER_LOSS * LOSSES_PER_SECOND);
        assertThat(entries / SECONDS / NODES).isLessThanOrEqualTo(each + MAX_SYNC_ENTRIES);
    }

    /** Each node must still learn of the losses: those with the same part may be due to it. */
    @Test
    void allNodesLearnOfALossSoon() {
        PromptLoss loss = randomLoss(0, nowMs);
        at(nowMs, new NodeId("n0"), new QuarantineEvent.Lost(loss));
        run(nowMs + 400);
        assertThat(states.values()).allMatch(s -> s.hasCountedLoss(loss.parts().head()));
    }
}
