package org.fuchsiadeck.node.front;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.core.config.ConfigState.Proof;

/**
 * Requests that the configuration in force does not allow, while it is not known whether that is the newest.
 */
final class UnprovenCalls implements AutoCloseable {
    private static final long LOOK_MS = 10;

    /** Each holds a connection and the head of a request. */
    private static final int MAX_HELD = 256;

    private final ConfigurationSource configuration;
    private final Executor runner;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "unproven-calls"));
    private List<Held> held = new ArrayList<>();
    private boolean closed;

    /**
     * Holds no call yet.
     *
     * @param configuration the configuration in force
     * @param runner runs the calls when their wait is over
     */
    UnprovenCalls(ConfigurationSource configuration, Executor runner) {
        this.configuration = configuration;
        this.runner = runner;
    }

    private record Held(long arrivedMs, Runnable call) {}

    /**
     * Holds a call until it is known whether the configuration is the newest, or that this can't be found out soon.
     *
     * @param arrivedMs when the request arrived, in milliseconds
     * @param call goes on with the request
     * @return whether it is held
     */
    boolean hold(long arrivedMs, Runnable call) {
        synchronized (this) {
            if (closed || held.size() >= MAX_HELD) {
                return false;
            }
            held.add(new Held(arrivedMs, call));
            if (held.size() == 1) {
                thread.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }
        configuration.requestProof(arrivedMs);
        return true;
    }

    private void look() {
        List<Held> ended = new ArrayList<>();
        synchronized (this) {
            List<Held> left = new ArrayList<>();
            for (Held one : held) {
                boolean waits = configuration.proofFor(one.arrivedMs()) == Proof.AWAITED;
                (waits ? left : ended).add(one);
            }
            held = left;
            if (!left.isEmpty() && !closed) {
                thread.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }
        ended.forEach(one -> runner.execute(one.call()));
    }

    /** Lets all calls go on. */
    @Override
    public void close() {
        List<Held> all;
        synchronized (this) {
            closed = true;
            all = held;
            held = List.of();
        }
        thread.shutdownNow();
        all.forEach(one -> runner.execute(one.call()));
    }
}
