package org.fuchsiadeck.testbed.kv;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Routes;
import org.fuchsiadeck.testbed.http.StandInServer;

/**
 * The stand-in of the key-value service, as docs/PLATFORM.md describes it.
 */
public final class KvService implements AutoCloseable {
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private static final long MAX_WAIT_MS = 120_000;

    private static final long LEASE_CHECK_MS = 5;

    private final ScheduledExecutorService timer;

    private final KvStore store;

    private final Leases leases = new Leases();

    private final Watches watches;

    private final CallMeter meter;

    private final StandInServer server;

    private final FaultGate gate = new FaultGate();

    private Future<?> expiry;

    /**
     * Makes a service that does not listen yet.
     *
     * @param settings its settings
     * @param timer runs delays and expiries
     */
    public KvService(KvSettings settings, ScheduledExecutorService timer) {
        this.timer = timer;
        this.store = new KvStore(settings.history());
        this.watches = new Watches(store, timer, () -> gate.faults().staleWatchMs());
        this.meter = new CallMeter(settings);
        this.server = new StandInServer("kv", settings.port(), routes(), gate::admit);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the port can't be bound
     */
    public synchronized void start() throws IOException {
        server.start();
        expiry = timer.scheduleWithFixedDelay(this::expire, LEASE_CHECK_MS, LEASE_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gives the address.
     *
     * @return {@code host:port}
     */
    public String address() {
        return server.address();
    }

    /**
     * Sets the faults in place of those before.
     *
     * @param next the faults
     */
    public void faults(KvFaults next) {
        boolean fell = next.outage() && !gate.faults().outage();
        gate.set(next);
        if (fell) {
            watches.forEachExchange(gate::meetOutage);
        }
        if (next.watchGap()) {
            store.forgetHistory();
            watches.changed();
        }
    }

    /**
     * Counts the calls.
     *
     * @return the counts since the service was made
     */
    public KvStats stats() {
        return meter.stats();
    }

    /**
     * Reads a key without counting a call and whatever the faults.
     *
     * @param key the key
     * @return its entry, empty if absent
     */
    public Optional<KvEntry> peek(String key) {
        return store.get(key);
    }

    /**
     * Lists keys without counting a call and whatever the faults.
     *
     * @param prefix what the keys start with
     * @return the entries in the order of their keys
     */
    public List<KvEntry> peekAll(String prefix) {
        return store.list(prefix).entries();
    }

    @Override
    public synchronized void close() {
        if (expiry != null) {
            expiry.cancel(false);
        }
        server.close();
    }

    private Routes routes() {
        return new Routes()
                .on("GET", "/v1/kv/*", metered(CallMeter.Kind.READ, this::get))
                .on("PUT", "/v1/kv/*", metered(CallMeter.Kind.WRITE, this::put))
                .on("DELETE", "/v1/kv/*", metered(CallMeter.Kind.WRITE, this::delete))
                .on(
                        "GET",
                        "/v1/list",
                        metered(CallMeter.Kind.READ, x -> x.json(200, store.list(x.param("prefix", "")))))
                .on("GET", "/v1/watch", metered(CallMeter.Kind.WATCH, this::watch))
                .on("POST", "/v1/leases", metered(CallMeter.Kind.WRITE, this::openLease))
                .on("POST", "/v1/leases/*/renew", metered(CallMeter.Kind.RENEWAL, this::renewLease))
                .on("DELETE", "/v1/leases/*", metered(CallMeter.Kind.WRITE, this::endLease))
                .on("GET", "/v1/stats", x -> x.json(200, stats()))
                .on("POST", "/v1/faults", x -> {
                    faults(x.body(KvFaults.class));
                    x.ok();
                });
    }

    private Routes.Action metered(CallMeter.Kind kind, Routes.Action action) {
        return x -> {
            if (!meter.count(kind)) {
                x.set("Retry-After", "1").json(429, new Routes.Problem("over the rate"));
                return;
            }
            long delay = gate.faults().delayMs();
            if (delay <= 0) {
                action.run(x);
                return;
            }
            timer.schedule(() -> runLate(action, x), delay, TimeUnit.MILLISECONDS);
        };
    }

    private static void runLate(Routes.Action action, Exchange x) {
        try {
            action.run(x);
        } catch (Exception e) {
            x.json(400, new Routes.Problem(e.getMessage()));
        }
    }

    private void get(Exchange x) {
        long revision = store.revision();
        Optional<KvEntry> entry = store.get(x.arg(0));
        if (entry.isEmpty()) {
            x.json(404, new Missing(revision));
            return;
        }
        KvEntry e = entry.get();
        x.json(200, new Found(e.key(), e.value(), e.revision(), Math.max(revision, e.revision())));
    }

    private void put(Exchange x) {
        if (x.body().getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            x.json(413, new Routes.Problem("a value holds at most " + MAX_VALUE_BYTES + " bytes"));
            return;
        }
        String key = x.arg(0);
        String lease = x.param("lease", "");
        synchronized (leases) {
            if (!lease.isEmpty() && !leases.isOpen(lease, System.nanoTime())) {
                x.json(404, new Missing(store.revision()));
                return;
            }
            KvStore.Swap swap = store.put(key, x.body(), x.param("expect", KvStore.ANY));
            if (swap.done()) {
                leases.attach(lease, key);
            }
            answerWrite(x, swap);
        }
    }

    private void delete(Exchange x) {
        KvStore.Swap swap = store.delete(x.arg(0), x.param("expect", KvStore.ANY));
        if (!swap.done() && swap.revision() == 0) {
            x.json(404, new Missing(store.revision()));
            return;
        }
        answerWrite(x, swap);
    }

    private void answerWrite(Exchange x, KvStore.Swap swap) {
        if (swap.done()) {
            watches.changed();
        }
        answer(x, swap.done() ? 200 : 409, new Written(swap.revision()));
    }

    private void answer(Exchange x, int status, Object body) {
        if (gate.losesAnswer()) {
            x.drop();
            return;
        }
        x.json(status, body);
    }

    private void watch(Exchange x) {
        long wait = Math.min(x.param("wait_ms", 0), MAX_WAIT_MS);
        watches.open(x, x.param("prefix", ""), x.param("after", 0), wait);
    }

    private void openLease(Exchange x) {
        long ttl = x.param("ttl_ms", 0);
        if (ttl <= 0) {
            throw new IllegalArgumentException("ttl_ms must be greater than 0, was " + ttl);
        }
        answer(x, 200, new Opened(leases.open(ttl, System.nanoTime())));
    }

    private void renewLease(Exchange x) {
        boolean renewed = leases.renew(x.arg(0), System.nanoTime());
        x.json(renewed ? 200 : 404, Map.of());
    }

    private void endLease(Exchange x) {
        synchronized (leases) {
            Collection<String> keys = leases.end(x.arg(0));
            if (keys == null) {
                x.json(404, Map.of());
                return;
            }
            drop(keys);
        }
        answer(x, 200, Map.of());
    }

    private void expire() {
        synchronized (leases) {
            drop(leases.endDue(System.nanoTime()));
        }
    }

    private void drop(Collection<String> keys) {
        keys.forEach(key -> store.delete(key, KvStore.ANY));
        if (!keys.isEmpty()) {
            watches.changed();
        }
    }

    private record Found(String key, String value, long revision, long serviceRevision) {}

    private record Missing(long serviceRevision) {}

    private record Written(long revision) {}

    private record Opened(String lease) {}
}
