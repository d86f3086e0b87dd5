package org.fuchsiadeck.node;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.ConfigEffect;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.node.config.ConfigReading;
import org.fuchsiadeck.node.platform.BudgetedStore;
import org.fuchsiadeck.node.platform.HttpKeyValueStore;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.platform.PlatformClient;
import org.fuchsiadeck.node.run.EffectHandler;

/**
 * Opens the client of the platform's key-value service and the reading of configurations.
 */
final class PlatformPart {
    private static final long CALL_TIMEOUT_MS = 2_000;

    private PlatformPart() {}

    static EffectHandler<Effect> open(Parts.Surroundings node) {
        ExecutorService parsing = Executors.newSingleThreadExecutor(r -> new Thread(r, "configuration"));
        node.closer().add(parsing::shutdownNow);
        ConfigReading reading = new ConfigReading(parsing, node.events()::post);
        KeyValueStore http = HttpKeyValueStore.open(node.settings().platform(), CALL_TIMEOUT_MS);
        KeyValueStore store = node.closer()
                .add(new BudgetedStore(http, BudgetedStore.Budget.DEFAULT, node.metrics(), System::nanoTime));
        PlatformClient client = new PlatformClient(store, node.events()::post);
        return effect -> {
            if (effect instanceof PlatformEffect call) {
                client.run(call);
            } else if (effect instanceof ConfigEffect text) {
                reading.run(text);
            }
        };
    }
}
