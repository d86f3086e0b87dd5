package org.fuchsiadeck.testbed.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Predicate;

import static java.util.Comparator.comparing;

/**
 * The thread of an engine: admits waiting requests by priority, and gives each running one a token a step. Everything
 * it owns changes on its thread alone; others post commands.
 */
final class DecodeLoop implements Runnable {
    private static final int PREFILL_TOKENS_PER_STEP = 512;

    private static final long MAX_LAG_NS = 5_000_000;

    private static final long MAX_PARK_NS = 1_000_000_000;

    private final CostModel cost;

    private final int slots;

    private final PrefixCache cache;

    private final EngineAudit.Recorder audit;

    private final Thread thread;

    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();

    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(comparing(Generation::key));

    private final List<Generation> running = new ArrayList<>();

    private FaultPicker faults = new FaultPicker(EngineFaults.none());

    private String version;

    private long stepEndNs = System.nanoTime();

    private volatile int runningCount;

    private volatile int queuedCount;

    private volatile boolean closed;

    DecodeLoop(String name, int slots, EngineSettings settings, PrefixCache cache, EngineAudit.Recorder audit) {
        this.cost = settings.cost();
        this.slots = slots;
        this.cache = cache;
        this.audit = audit;
        this.thread = new Thread(this, "engine-" + name);
        thread.setDaemon(true);
    }

    void start(String firstVersion) {
        version = firstVersion;
        thread.start();
    }

    /** Stops the thread; running requests get nothing more. */
    void stop() {
        closed = true;
        wake();
    }

    int running() {
        return runningCount;
    }

    int queued() {
        return queuedCount;
    }

    void submit(Generation g) {
        post(() -> waiting.add(g));
    }

    void faults(EngineFaults next) {
        post(() -> faults = new FaultPicker(next));
    }

    void version(String next) {
        post(() -> {
            version = next;
            cache.clear();
        });
    }

    /** Forgets a request whose caller has gone. */
    void abandon(Generation g) {
        post(() -> {
            g.abandon();
            waiting.remove(g);
        });
    }

    /** Stops a request by its id and ends its answer. */
    void cancel(String requestId) {
        post(() -> {
            takeWaiting(requestId, g -> g.sink().refuse("cancelled"));
            running.stream().filter(byId(requestId)).forEach(Generation::cut);
        });
    }

    /** Stops a running request by its id and hands it on, or null if there is none. */
    void export(String requestId, Consumer<Generation> next) {
        post(() -> {
            Generation found = running.stream()
                    .filter(byId(requestId).and(g -> !g.hasEnded() && !g.isPrefilling()))
                    .findFirst()
                    .orElse(null);
            if (found != null) {
                found.cut();
            }
            next.accept(found);
        });
    }

    @Override
    public void run() {
        while (!closed) {
            drain();
            admit();
            if (running.isEmpty()) {
                LockSupport.parkNanos(this, MAX_PARK_NS);
                stepEndNs = System.nanoTime();
            } else {
                step();
            }
        }
    }

    private void post(Runnable command) {
        commands.add(command);
        wake();
    }

    private void wake() {
        LockSupport.unpark(thread);
    }

    private void drain() {
        Runnable command = commands.poll();
        while (command != null) {
            command.run();
            command = commands.poll();
        }
        count();
    }

    private void count() {
        running.removeIf(Generation::hasEnded);
        runningCount = running.size();
        queuedCount = waiting.size();
    }

    private void admit() {
        while (running.size() < slots && !waiting.isEmpty()) {
            Generation g = waiting.remove();
            VersionFault fault = faults.next(version, g.key().route(), running.size() + 1);
            g.start(version, fault, cache, System.nanoTime());
            audit.started(g);
            running.add(g);
        }
        count();
    }

    private void step() {
        int imported = running.stream().mapToInt(Generation::takeImport).sum();
        int prefilled = prefill();
        int decoding = (int) running.stream().filter(g -> !g.isPrefilling()).count();
        pace(cost.stepNanos(decoding, prefilled, imported));
        drain();
        int tokens = decode();
        count();
        if (tokens == 0 && prefilled == 0) {
            parkUntilReady();
        }
    }

    private int prefill() {
        int budget = PREFILL_TOKENS_PER_STEP;
        for (Generation g : running) {
            if (!g.isPrefilling()) {
                continue;
            }
            budget -= g.prefill(budget);
            if (!g.isPrefilling()) {
                cache.addAll(g.hashes());
            }
        }
        return PREFILL_TOKENS_PER_STEP - budget;
    }

    private int decode() {
        long now = System.nanoTime();
        int tokens = 0;
        for (Generation g : running) {
            if (!g.hasEnded() && g.advance(cache, now, this::wake)) {
                tokens++;
            }
        }
        audit.computed(tokens);
        return tokens;
    }

    private void pace(long costNs) {
        if (costNs == 0) {
            return;
        }
        stepEndNs = Math.max(stepEndNs, System.nanoTime() - MAX_LAG_NS) + costNs;
        long left = stepEndNs - System.nanoTime();
        while (left > 0 && !closed) {
            LockSupport.parkNanos(this, left);
            left = stepEndNs - System.nanoTime();
        }
    }

    private void parkUntilReady() {
        long now = System.nanoTime();
        long least = running.stream().mapToLong(g -> g.waitNs(now)).min().orElse(0);
        if (least > 0 && commands.isEmpty()) {
            LockSupport.parkNanos(this, Math.min(least, MAX_PARK_NS));
        }
    }

    private void takeWaiting(String requestId, Consumer<Generation> action) {
        List<Generation> found = waiting.stream().filter(byId(requestId)).toList();
        waiting.removeAll(found);
        found.forEach(action);
    }

    private static Predicate<Generation> byId(String requestId) {
        return g -> g.key().requestId().equals(requestId);
    }
}
