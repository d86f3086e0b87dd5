package org.fuchsiadeck.testbed.app;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs work for a time each, a limited number at once, the rest in the order of arrival.
 */
final class Slots {
    private final int limit;

    private final ScheduledExecutorService timer;

    private final Deque<Work> waiting = new ArrayDeque<>();

    private int running;

    private boolean closed;

    Slots(int limit, ScheduledExecutorService timer) {
        this.limit = limit;
        this.timer = timer;
    }

    synchronized int running() {
        return running;
    }

    synchronized int queued() {
        return waiting.size();
    }

    /** Runs an action at the end of its time, or never if the slots close first. */
    void run(long timeMs, Runnable atEnd) {
        Work work = new Work(timeMs, atEnd);
        synchronized (this) {
            if (running == limit) {
                waiting.add(work);
                return;
            }
            running++;
        }
        start(work);
    }

    /** Drops all work that has not ended. */
    synchronized void close() {
        closed = true;
        waiting.clear();
    }

    private void start(Work work) {
        if (work.timeMs == 0) {
            end(work);
        } else {
            timer.schedule(() -> end(work), work.timeMs, TimeUnit.MILLISECONDS);
        }
    }

    private void end(Work work) {
        Work next;
        synchronized (this) {
            if (closed) {
                return;
            }
            next = waiting.poll();
            if (next == null) {
                running--;
            }
        }
        work.atEnd.run();
        if (next != null) {
            start(next);
        }
    }

    private record Work(long timeMs, Runnable atEnd) {}
}
