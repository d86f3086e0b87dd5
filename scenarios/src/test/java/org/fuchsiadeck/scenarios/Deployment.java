package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.rollout.RegistryFormat;
import org.fuchsiadeck.core.rollout.RolloutReducer;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
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
import org.fuchsiadeck.testbed.app.AppFault;
import org.fuchsiadeck.testbed.app.AppFaults;
import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.proxy.ProxyAction;
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
    private final List<String> apps;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private int started;

    private Deployment(Path folder, Testbed testbed, List<String> zones, List<NodePlan> plans) {
        this.folder = folder;
        this.apps = testbed.cloud().backends().stream()
                .filter(b -> b.kind() == BackendInstance.Kind.APPLICATION)
                .map(BackendInstance::id)
                .toList();
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
            made.startAll(configuration, count);
            return made;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startAll(String configuration, int count) {
        try {
            apply(configuration);
            for (int i = 0; i < count; i++) {
                startNode();
            }
            nodes.forEach(NodeProcess::awaitReady);
            awaitBackendsKnown();
        } catch (RuntimeException | AssertionError e) {
            close();
            throw e;
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
        NodePlan plan = plans.get(started);
        testbed.cloud().put(new NodeInstance(plan.id(), plan.peerAddress(), plan.zone()));
        NodeProcess node = NodeProcess.start(plan, folder);
        started++;
        nodes.add(node);
        return node;
    }

    Caller caller(int node, String team) {
        return new Caller(nodes.get(node).plan().callerPort(), team);
    }

    /** Applies a configuration as an operator would, and returns its revision. */
    long apply(String configuration) {
        Address kv = Address.parse(testbed.address("kv"));
        try (KeyValueStore store = HttpKeyValueStore.open(kv, CALL_TIMEOUT_MS)) {
            ConfigStore operators = new ConfigStore(store, Timing.system(), PATIENCE_MS);
            long base = operators.current().get().map(Accepted::revision).orElse(0L);
            String id = "scenario-" + System.nanoTime();
            Outcome outcome = operators.apply(new Proposal(configuration, "scenario", "a test", base, id));
            if (outcome instanceof Outcome.Done done) {
                return done.revision();
            }
            throw new AssertionError("not accepted: " + outcome);
        }
    }

    /** Deletes the accepted configuration, as a platform's service that was restored from an old copy would. */
    void deleteConfiguration() {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + testbed.address("kv") + "/v1/kv/config%2Fcurrent"))
                .DELETE()
                .build();
        int status = HttpClient.newHttpClient()
                .sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .join()
                .statusCode();
        if (status != 200) {
            throw new AssertionError("the configuration can't be deleted: " + status);
        }
    }

    /** Writes the book of rollouts over whatever is there. */
    void putBook(RolloutRegistry book) {
        Address kv = Address.parse(testbed.address("kv"));
        try (KeyValueStore store = HttpKeyValueStore.open(kv, CALL_TIMEOUT_MS)) {
            KeyValueStore.await(store.put(
                    RolloutReducer.REGISTRY_KEY,
                    RegistryFormat.serialize(book),
                    OptionalLong.empty(),
                    Optional.empty()));
        }
    }

    /** Sets the faults of the proxies before every backend server of a service. */
    void serviceFaults(String service, ProxyFaults faults) {
        backends(service).forEach(id -> proxyFaults(id, faults));
    }

    /** Takes the faults of a service's proxies away, with all connections, silent ones included. */
    void renewConnections(String service) {
        serviceFaults(service, ProxyFaults.of(ProxyAction.CUT));
        Set<String> addresses = backends(service).stream().map(testbed::address).collect(Collectors.toSet());
        Waiting.until(
                "the nodes have seen the connections close",
                () -> live().stream()
                        .noneMatch(n -> n.idleConnections().stream().anyMatch(addresses::contains)));
    }

    /** Sets the faults of every application. */
    void appFaults(AppFault... faults) {
        apps.forEach(id -> testbed.app(id).faults(AppFaults.of(faults)));
    }

    List<String> apps() {
        return apps;
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

    /** Gives the ids of the backend servers that run a service. */
    List<String> backends(String service) {
        return testbed.cloud().backends().stream()
                .filter(b -> b.service().equals(service))
                .map(BackendInstance::id)
                .toList();
    }

    /** Waits until no application works on a request, and gives how often each entry ran. */
    Map<String, Integer> runs() {
        Waiting.until(
                "the applications are idle",
                () -> apps.stream().allMatch(id -> testbed.app(id).running() == 0));
        return testbed.entryRuns();
    }

    /** Waits until every node that lives has a revision of the configuration in force. */
    void awaitRevision(long revision) {
        Waiting.until(
                "revision " + revision + " is in force everywhere",
                () -> live().stream().allMatch(n -> n.configRevision() == revision));
    }

    private void awaitBackendsKnown() {
        List<BackendInstance> backends = testbed.cloud().backends();
        Waiting.until(
                "the nodes know the backend servers",
                () -> nodes.stream().allMatch(n -> backends.stream().allMatch(b -> n.knows(b.id()))));
    }

    List<NodeProcess> live() {
        return nodes.stream().filter(NodeProcess::alive).toList();
    }

    /** Waits until the nodes that live, and no others, keep the idempotency keys. */
    void awaitKeysKept() {
        Set<String> ids = live().stream().map(n -> n.plan().id()).collect(Collectors.toSet());
        Waiting.until(
                "the keys are kept by " + ids,
                () -> live().stream().allMatch(n -> n.keepers().equals(List.of(ids))));
    }

    @Override
    public void close() {
        try {
            nodes.forEach(NodeProcess::close);
        } finally {
            testbed.close();
            deleteFolder();
        }
    }

    private void deleteFolder() {
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
