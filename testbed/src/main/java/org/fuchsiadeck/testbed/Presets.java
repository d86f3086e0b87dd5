package org.fuchsiadeck.testbed;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.cloud.CloudFaults;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.kv.KvSettings;

/**
 * The fleets of the two users.
 *
 * @param zones the availability zones
 * @param engineService the service that the engines run
 * @param model the model that the engines hold
 * @param engines how many engines there are
 * @param appService the service that the applications run
 * @param apps how many applications there are
 */
record Presets(List<String> zones, String engineService, String model, int engines, String appService, int apps) {
    static final Presets HOWRAH = new Presets(
            List.of("howrah", "salt-lake", "behala", "dumdum"), "assistant", "bangla-assistant", 6, "registers", 4);

    static final Presets BUCARAMANGA =
            new Presets(List.of("norte", "oriente", "centro", "sur"), "drafting", "roof-drafter", 8, "visits", 4);

    private static final String VERSION = "v1";

    private static final int ENGINE_SLOTS = 8;

    private static final int APP_SLOTS = 16;

    private static final double ENGINE_PRICE = 0.60;

    private static final double APP_PRICE = 0.05;

    private static final double ZONE_PRICE_STEP = 0.1;

    private static final long LOAD_AGE_MS = 500;

    private static final long CACHE_EVENT_DELAY_MS = 500;

    private static final double CACHE_EVENT_LOSS_RATE = 0.05;

    private static final long ORDER_MS = 500;

    private static final long SERVICE_MS = 20;

    private static final long LIST_LAG_MS = 1_000;

    TestbedSpec spec() {
        KvSettings kv = new KvSettings(0, true, 0, 0, 0);
        CloudSettings cloud = new CloudSettings(0, true, CloudFaults.lag(LIST_LAG_MS));
        return new TestbedSpec(0, kv, cloud, backends(), null, null);
    }

    private List<BackendSpec> backends() {
        EngineSettings engine = new EngineSettings(
                CostModel.usual(), 0, 0, LOAD_AGE_MS, CACHE_EVENT_DELAY_MS, CACHE_EVENT_LOSS_RATE, false, ORDER_MS, 0);
        AppSettings app = new AppSettings(SERVICE_MS, LOAD_AGE_MS);
        List<BackendSpec> backends = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            String id = engineService + "-" + (i + 1);
            backends.add(BackendSpec.engine(id, zone(i), engineService, VERSION, model, engine)
                    .withSize(ENGINE_SLOTS, price(ENGINE_PRICE, i))
                    .withProxy(true));
        }
        for (int i = 0; i < apps; i++) {
            String id = appService + "-" + (i + 1);
            backends.add(BackendSpec.app(id, zone(i), appService, VERSION, app)
                    .withSize(APP_SLOTS, price(APP_PRICE, i))
                    .withProxy(true));
        }
        return backends;
    }

    private String zone(int i) {
        return zones.get(i % zones.size());
    }

    private double price(double base, int i) {
        return base * (1 + ZONE_PRICE_STEP * (i % zones.size()));
    }
}
