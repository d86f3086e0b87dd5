package org.fuchsiadeck.testbed.engine;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.Exchange;

/**
 * Takes orders, heeding or ignoring their fencing numbers.
 */
final class Orders {
    private final EngineSettings settings;

    private final ScheduledExecutorService timer;

    private final Consumer<EngineState> effect;

    private long newestFence;

    Orders(EngineSettings settings, ScheduledExecutorService timer, Consumer<EngineState> effect) {
        this.settings = settings;
        this.timer = timer;
        this.effect = effect;
    }

    void take(Exchange x) {
        Order order = x.body(Order.class);
        if (order.wanted == null) {
            throw new IllegalArgumentException("wanted must not be absent");
        }
        long newer = refusedFor(order.fence);
        if (newer > 0) {
            x.json(409, new Refused(newer));
            return;
        }
        timer.schedule(() -> effect.accept(order.wanted), settings.orderMs(), TimeUnit.MILLISECONDS);
        x.json(200, new Accepted(true));
    }

    private synchronized long refusedFor(long fence) {
        if (fence < newestFence && !settings.ignoresFence()) {
            return newestFence;
        }
        newestFence = Math.max(newestFence, fence);
        return 0;
    }

    private record Order(long fence, EngineState wanted) {}

    private record Accepted(boolean accepted) {}

    private record Refused(long fence) {}
}
