package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import org.fuchsiadeck.testbed.BackendSpec;
import org.fuchsiadeck.testbed.CloudSettings;
import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.http.Json;
import org.fuchsiadeck.testbed.kv.KvSettings;

/**
 * The settings of a testbed and its entry nodes, on free ports of this machine.
 */
final class DeploymentPlan {
    private static final String HOST = "127.0.0.1:";
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final int SERVICES = 3;
    private static final int PORTS_PER_NODE = 3;
    private static final int RELAY_SLOTS = 64;
    private static final int RELAY_ENGINES = 2;
    private static final double RELAY_PRICE = 0.1;

    private final Experiment experiment;
    private final TestbedSpec preset;
    private final List<Integer> ports;
    private final List<String> zones;

    DeploymentPlan(Experiment experiment) {
        this.experiment = experiment;
        this.preset = preset(experiment.preset());
        this.ports = freePorts(SERVICES + PORTS_PER_NODE * experiment.nodes());
        this.zones =
                preset.backends().stream().map(BackendSpec::zone).distinct().toList();
    }

    /**
     * Writes the settings: {@code testbed.json}, {@code node-N.toml}, and the addresses in {@code control},
     * {@code platform} and {@code nodes}.
     *
     * @param dir the directory
     * @param router the router of the nodes
     */
    void write(Path dir, String router) {
        try {
            Files.createDirectories(dir);
            Files.writeString(dir.resolve("testbed.json"), Json.write(testbed()));
            Files.writeString(dir.resolve("control"), HOST + ports.get(0) + "\n");
            Files.writeString(dir.resolve("platform"), HOST + ports.get(1) + "\n");
            Files.writeString(dir.resolve("nodes"), String.join(",", entries()) + "\n");
            for (int i = 0; i < experiment.nodes(); i++) {
                Files.writeString(dir.resolve(id(i) + ".toml"), settings(i, router));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private TestbedSpec testbed() {
        KvSettings kv = new KvSettings(ports.get(1), false, 0, 0, 0);
        CloudSettings cloud =
                new CloudSettings(ports.get(2), false, preset.cloud().faults());
        List<NodeInstance> nodes = new ArrayList<>();
        for (int i = 0; i < experiment.nodes(); i++) {
            nodes.add(new NodeInstance(id(i), peer(i), zone(i)));
        }
        return new TestbedSpec(ports.get(0), kv, cloud, preset.backends(), nodes, List.of());
    }

    private List<String> entries() {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < experiment.nodes(); i++) {
            out.add(address(i, 0) + "/" + address(i, 1));
        }
        return out;
    }

    private String settings(int i, String router) {
        List<String> seeds = new ArrayList<>();
        for (int other = 0; other < experiment.nodes(); other++) {
            seeds.add('"' + peer(other) + '"');
        }
        return """
                id = "%s"
                zone = "%s"
                seed = %d

                [callers]
                address = "%s"

                [operators]
                address = "%s"
                token = "experiment"

                [peers]
                address = "%s"
                seeds = [%s]

                [platform]
                address = "%s"

                [cloud]
                address = "%s"
                poll_ms = 500

                [experiment]
                router = "%s"
                """.formatted(
                        id(i),
                        zone(i),
                        i + 1,
                        address(i, 0),
                        address(i, 1),
                        peer(i),
                        String.join(", ", seeds),
                        HOST + ports.get(1),
                        HOST + ports.get(2),
                        router);
    }

    private static String id(int i) {
        return "node-" + (i + 1);
    }

    private String zone(int i) {
        return zones.get(i % zones.size());
    }

    private String peer(int i) {
        return address(i, 2);
    }

    private String address(int node, int which) {
        return HOST + ports.get(SERVICES + PORTS_PER_NODE * node + which);
    }

    private static TestbedSpec preset(Experiment.Preset preset) {
        TestbedSpec spec =
                switch (preset) {
                    case HOWRAH -> TestbedSpec.howrah();
                    case BUCARAMANGA -> TestbedSpec.bucaramanga();
                    case RELAY -> relay();
                };
        return spec.withoutProxies();
    }

    /** Servers of the Howrah configuration's services whose work takes no time. */
    private static TestbedSpec relay() {
        EngineSettings free = EngineSettings.with(CostModel.free());
        List<BackendSpec> backends = new ArrayList<>();
        backends.add(BackendSpec.app("registers-1", "howrah", "registers", "v1", AppSettings.defaults())
                .withSize(RELAY_SLOTS, RELAY_PRICE));
        for (int i = 1; i <= RELAY_ENGINES; i++) {
            backends.add(BackendSpec.engine("assistant-" + i, "howrah", "assistant", "v1", "bangla-assistant", free)
                    .withSize(RELAY_SLOTS, RELAY_PRICE));
        }
        return TestbedSpec.of(backends.toArray(BackendSpec[]::new));
    }

    /** Finds free ports below those that systems give to outgoing connections, which would take them meanwhile. */
    private static List<Integer> freePorts(int count) {
        List<Integer> out = new ArrayList<>();
        int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
        while (out.size() < count) {
            port = port < LAST_PORT ? port + 1 : FIRST_PORT;
            if (isFree(port)) {
                out.add(port);
            }
        }
        return out;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
