package org.fuchsiadeck.testbed.kv;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fuchsiadeck.testbed.http.Exchange;

/**
 * Waiting watches, answered upon a change or at the end of their wait.
 */
final class Watches {
    private final KvStore store;

    private final ScheduledExecutorService timer;

    private final LongSupplier staleMs;

    private final Set<Watch> waiting = ConcurrentHashMap.newKeySet();

    Watches(KvStore store, ScheduledExecutorService timer, LongSupplier staleMs) {
        this.store = store;
        this.timer = timer;
        this.staleMs = staleMs;
    }

    void open(Exchange x, String prefix, long after, long waitMs) {
        Watch watch = new Watch(x, prefix, after);
        waiting.add(watch);
        if (watch.wake()) {
            return;
        }
        watch.end = timer.schedule(watch::finish, waitMs, TimeUnit.MILLISECONDS);
        x.onClose(() -> waiting.remove(watch));
    }

    void changed() {
        waiting.forEach(Watch::wake);
    }

    void forEachExchange(Consumer<Exchange> action) {
        waiting.forEach(w -> action.accept(w.x));
        waiting.clear();
    }

    private final class Watch {
        private final Exchange x;

        private final String prefix;

        private final long after;

        private final AtomicBoolean due = new AtomicBoolean();

        private volatile Future<?> end;

        Watch(Exchange x, String prefix, long after) {
            this.x = x;
            this.prefix = prefix;
            this.after = after;
        }

        boolean wake() {
            if (!store.changes(prefix, after).isNews() || !due.compareAndSet(false, true)) {
                return due.get();
            }
            long late = staleMs.getAsLong();
            if (late > 0) {
                timer.schedule(this::answer, late, TimeUnit.MILLISECONDS);
            } else {
                answer();
            }
            return true;
        }

        void finish() {
            if (due.compareAndSet(false, true)) {
                answer();
            }
        }

        private void answer() {
            Future<?> waitEnd = end;
            if (waitEnd != null) {
                waitEnd.cancel(false);
            }
            if (waiting.remove(this)) {
                x.json(200, store.changes(prefix, after));
            }
        }
    }
}
