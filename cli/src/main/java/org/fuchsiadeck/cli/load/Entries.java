package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpAnswer;
import org.fuchsiadeck.node.platform.HttpCall;
import org.fuchsiadeck.node.platform.HttpCalls;

/**
 * The entry nodes in turn, as the platform's balancer gives them: those that are ready.
 */
final class Entries implements AutoCloseable {
    private static final long POLL_MS = 250;
    private static final long POLL_TIMEOUT_MS = 2_000;
    private static final long START_LIMIT_MS = 60_000;
    private static final int OK = 200;

    private final List<Entry> entries;
    private final HttpCalls calls;
    private final Map<Entry, String> unready = new ConcurrentHashMap<>();
    private final AtomicInteger turn = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    Entries(List<Entry> entries, HttpCalls calls) {
        this.entries = List.copyOf(entries);
        this.calls = calls;
        this.entries.forEach(e -> unready.put(e, "not asked yet"));
        timer.scheduleAtFixedRate(this::poll, 0, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the next ready node, or the next node if none is ready. */
    Address next() {
        int from = turn.getAndIncrement();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(Math.floorMod(from + i, entries.size()));
            if (!unready.containsKey(entry)) {
                return entry.callers();
            }
        }
        return entries.get(Math.floorMod(from, entries.size())).callers();
    }

    /**
     * Waits until all nodes are ready.
     *
     * @return why nodes are not ready after a minute; empty if all are
     */
    Map<Entry, String> awaitReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MS);
        while (!unready.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(POLL_MS);
        }
        return Map.copyOf(unready);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void poll() {
        for (Entry entry : entries) {
            HttpCall ready = new HttpCall(entry.operators(), "GET", "/ready", Map.of(), "", POLL_TIMEOUT_MS);
            calls.call(ready).thenAccept(a -> mark(entry, a.fold(String::valueOf, Entries::reason)));
        }
    }

    private static String reason(HttpAnswer answer) {
        return answer.status() == OK ? "" : answer.body();
    }

    private void mark(Entry entry, String reason) {
        if (reason.isEmpty()) {
            unready.remove(entry);
        } else {
            unready.put(entry, reason);
        }
    }

    /**
     * An entry node.
     *
     * @param callers where it listens for callers
     * @param operators where it listens for operators
     */
    record Entry(Address callers, Address operators) {
        Entry {
            Loopback.check(callers);
            Loopback.check(operators);
        }

        /** Reads {@code host:port/host:port}, callers' address first. */
        static Entry parse(String text) {
            String[] parts = text.split("/");
            if (parts.length != 2) {
                throw new IllegalArgumentException("a node must be CALLERS/OPERATORS, was " + text);
            }
            return new Entry(Address.parse(parts[0]), Address.parse(parts[1]));
        }
    }
}
