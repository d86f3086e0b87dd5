package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.rollout.BookText;
import org.fuchsiadeck.core.rollout.RolloutBook;
import org.fuchsiadeck.core.rollout.RolloutReducer;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.config.Outcome;
import org.fuchsiadeck.node.config.Proposal;
import org.fuchsiadeck.node.config.Timing;
import org.fuchsiadeck.node.platform.HttpKeyValueStore;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.testbed.ProxySpec;
import org.fuchsiadeck.testbed.Testbed;
import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;

/** Stand-ins in this process and entry nodes as processes of their own; each node's peers reach it through a proxy. */
final class Deployment implements AutoCloseable {
    private static final int SPARE = 2;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final long PATIENCE_MS = 10_000;

    private final Path folder;
    private final Testbed testbed;
    private final List<String> zones;
    private final List<NodePlan> plans;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private int started;

    private Deployment(Path folder, Testbed testbed, List<String> zones, List<NodePlan> plans) {
        this.folder = folder;
        this.testbed = testbed;
        this.zones = zones;
        this.plans = plans;
    }

    /** Starts stand-ins and nodes with a configuration, and waits until the nodes are ready. */
    static Deployment start(TestbedSpec spec, String configuration, int count) {
        List<Integer> ports = new ArrayList<>();
        List<ProxySpec> proxies = new ArrayList<>();
        for (int i = 0; i < count + SPARE; i++) {
            ports.add(Ports.free());
            proxies.add(new ProxySpec(peerProxy(i), 0, "127.0.0.1:" + ports.get(i)));
        }
        TestbedSpec whole =
                new TestbedSpec(spec.controlPort(), spec.kv(), spec.cloud(), spec.backends(), spec.nodes(), proxies);
        try {
            Path folder = Files.createTempDirectory("fuchsiadeck");
            Testbed testbed = Testbed.start(whole);
            List<String> zones =
                    spec.backends().stream().map(b -> b.zone()).distinct().toList();
            Deployment made = new Deployment(folder, testbed, zones, plans(testbed, zones, ports));
            made.apply(configuration);
            for (int i = 0; i < count; i++) {
                made.startNode();
            }
            made.nodes.forEach(NodeProcess::awaitReady);
            return made;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<NodePlan> plans(Testbed testbed, List<String> zones, List<Integer> ports) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            peers.add(testbed.address(peerProxy(i)));
        }
        List<NodePlan> plans = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            plans.add(new NodePlan(
                    "node-" + (i + 1),
                    zones.get(i % zones.size()),
                    i + 1,
                    Ports.free(),
                    Ports.free(),
                    ports.get(i),
                    peers.get(i),
                    peers,
                    testbed.address("kv"),
                    testbed.address("cloud")));
        }
        return plans;
    }

    Testbed testbed() {
        return testbed;
    }

    List<NodeProcess> nodes() {
        return nodes;
    }

    /** Starts the next node of the plan; the plan has two more than were started at first. */
    NodeProcess startNode() {
        NodeProcess node = NodeProcess.start(plans.get(started), folder);
        started++;
        nodes.add(node);
        return node;
    }

    Caller caller(int node, String team) {
        return new Caller(nodes.get(node).plan().callerPort(), team);
    }

    /** Applies a configuration as an operator would, and returns what was accepted. */
    Accepted apply(String configuration) {
        Address kv = Address.parse(testbed.address("kv"));
        try (KeyValueStore store = HttpKeyValueStore.open(kv, CALL_TIMEOUT_MS)) {
            ConfigStore operators = new ConfigStore(store, Timing.system(), PATIENCE_MS);
            long base = operators.current().get().map(Accepted::revision).orElse(0L);
            String id = "scenario-" + System.nanoTime();
            Outcome outcome = operators.apply(new Proposal(configuration, "scenario", "a test", base, id));
            return operators.current().get().orElseThrow(() -> new AssertionError("not accepted: " + outcome));
        }
    }

    /** Writes the book of rollouts over whatever is there. */
    void putBook(RolloutBook book) {
        Address kv = Address.parse(testbed.address("kv"));
        try (KeyValueStore store = HttpKeyValueStore.open(kv, CALL_TIMEOUT_MS)) {
            KeyValueStore.await(
                    store.put(RolloutReducer.BOOK_KEY, BookText.write(book), OptionalLong.empty(), Optional.empty()));
        }
    }

    /** Sets the faults of the proxy before a node's peers. */
    void peerFaults(int node, ProxyFaults faults) {
        proxyFaults(peerProxy(node), faults);
    }

    void proxyFaults(String id, ProxyFaults faults) {
        try {
            testbed.proxy(id).faults(faults);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    List<String> zones() {
        return zones;
    }

    @Override
    public void close() {
        nodes.forEach(NodeProcess::close);
        testbed.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String peerProxy(int node) {
        return "peer-" + (node + 1);
    }
}
