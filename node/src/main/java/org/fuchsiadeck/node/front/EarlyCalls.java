package org.fuchsiadeck.node.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.run.EffectHandler;

/**
 * Requests that came before a node that has just started knew a configuration. It knows one within a fraction of a second,
 * so they wait for it rather than being refused: after a loss of all nodes callers come at once, and each refusal costs
 * them a repeat and its pause.
 */
final class EarlyCalls implements AutoCloseable {
    /** A node that knows no configuration so long after its start may not get one: the platform does not answer. */
    private static final long MAX_WAIT_MS = 800;

    private static final long LOOK_MS = 10;

    /** More than come to a node in that time; each holds a connection and the head of a request. */
    private static final int MAX_HELD = 256;

    private final ConfigurationSource configuration;
    private final Executor runner;
    private final EffectHandler<Effect.Log> log;
    private final long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS);
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "early-calls"));
    private List<Runnable> held = new ArrayList<>();
    private volatile boolean over;

    /**
     * Begins to hold calls.
     *
     * @param configuration the configuration in force
     * @param runner runs the calls when their wait is over
     * @param log takes the outcome
     */
    EarlyCalls(ConfigurationSource configuration, Executor runner, EffectHandler<Effect.Log> log) {
        this.configuration = configuration;
        this.runner = runner;
        this.log = log;
        thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Holds a call until a configuration is known, or the time for it is over.
     *
     * @param call goes on with the request
     * @return whether it is held; otherwise the caller of this method goes on itself
     */
    boolean hold(Runnable call) {
        if (over || known()) {
            return false;
        }
        synchronized (this) {
            boolean room = !over && held.size() < MAX_HELD;
            if (room) {
                held.add(call);
            }
            return room;
        }
    }

    private boolean known() {
        Configuration now = configuration.current();
        return now.revision() > 0 || !now.routes().isEmpty();
    }

    private void look() {
        if (known() || System.nanoTime() >= endNanos) {
            close();
        }
    }

    /** Lets all calls go on. */
    @Override
    public void close() {
        List<Runnable> all;
        synchronized (this) {
            over = true;
            all = held;
            held = List.of();
        }
        thread.shutdown();
        if (!all.isEmpty()) {
            log.handle(new Effect.Log(
                    EventCode.CALLS_HELD,
                    "",
                    Map.of(
                            "requests",
                            all.size(),
                            "revision",
                            configuration.current().revision())));
        }
        all.forEach(runner::execute);
    }
}
