package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.testbed.BackendSpec;
import org.fuchsiadeck.testbed.CloudSettings;
import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.cloud.CloudFaults;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.kv.KvSettings;

/** Backend servers and configurations for scenarios. */
final class Fleets {
    private static final List<String> ZONES = List.of("howrah", "salt-lake", "behala");
    private static final long LIST_LAG_MS = 300;

    private Fleets() {}

    /** Gives a register application and an assistant's engine in each of three zones, all behind proxies. */
    static TestbedSpec threeZones(long serviceMs) {
        return threeZones(new AppSettings(serviceMs, 0), CostModel.usual());
    }

    static TestbedSpec threeZones(AppSettings app, CostModel cost) {
        return threeZones(app, cost, LIST_LAG_MS);
    }

    static TestbedSpec lagging(long lagMs) {
        return threeZones(new AppSettings(0, 0), CostModel.usual(), lagMs);
    }

    private static TestbedSpec threeZones(AppSettings app, CostModel cost, long lagMs) {
        List<BackendSpec> backends = new ArrayList<>();
        for (int i = 0; i < ZONES.size(); i++) {
            String zone = ZONES.get(i);
            backends.add(BackendSpec.app("registers-" + (i + 1), zone, "registers", "v1", app)
                    .withProxy(true));
            backends.add(engine("assistant-" + (i + 1), zone, "v1", cost));
        }
        KvSettings kv = new KvSettings(0, true, 0, 0, 0);
        CloudSettings cloud = new CloudSettings(0, true, CloudFaults.lag(lagMs));
        return new TestbedSpec(0, kv, cloud, backends, null, null);
    }

    static BackendSpec engine(String id, String zone, String version, CostModel cost) {
        return BackendSpec.engine(id, zone, "assistant", version, "bangla-assistant", EngineSettings.with(cost))
                .withProxy(true);
    }

    static String configuration() {
        try (InputStream file = Fleets.class.getResourceAsStream("/scenarios.toml")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Gives the configuration with one default changed. */
    static String configuration(String name, long value) {
        String changed = configuration().replaceFirst("(?m)^" + name + " = \\d+$", name + " = " + value);
        if (!changed.contains("\n" + name + " = " + value + "\n")) {
            throw new IllegalArgumentException("no default " + name);
        }
        return changed;
    }
}
