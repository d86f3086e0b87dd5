package org.fuchsiadeck.node.run;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;

import static java.util.Objects.requireNonNull;

/**
 * Detects a stalled or dead event loop from a separate thread. A slow event is logged with the stack of the loop's thread.
 * If the event does not end, or the thread has died of an error, the loop is lost: the node makes no more decisions while
 * its ports still answer, so a callback reports it to whoever runs the node. Time is counted in checks rather than read
 * from the clock, because a process that was paused would otherwise appear to have a stalled loop.
 */
public final class EventLoopWatchdog implements AutoCloseable {
    /** Repeated checks of one event after which it is logged; events normally take a few milliseconds at most. */
    static final int CHECKS_UNTIL_LOGGED = 4;

    /** Repeated checks of one event after which the loop is lost; longer than a garbage collection of a full heap. */
    static final int CHECKS_UNTIL_LOST = 20;

    /** Wait of an event from which the loop is logged as behind, in milliseconds. */
    static final long BEHIND_MS = 500;

    /** Wait of an event below which the loop has caught up, in milliseconds. */
    static final long CAUGHT_UP_MS = 100;

    private static final long CHECK_INTERVAL_MS = 250;

    /** Maximum number of stack frames in a log line. */
    private static final int MAX_STACK_FRAMES = 20;

    private final EventLoop loop;
    private final EffectHandler<Effect.Log> log;
    private final Runnable onLost;
    private final Thread thread = new Thread(this::run, "event-loop-watch");
    private long lastEventCount = -1;
    private int repeatedChecks;
    private boolean behind;

    /**
     * Creates a watchdog. It runs after {@link #start} is called.
     *
     * @param loop the event loop to check
     * @param log the handler of the log lines
     * @param onLost the callback run at most once, when the loop is lost
     */
    public EventLoopWatchdog(EventLoop loop, EffectHandler<Effect.Log> log, Runnable onLost) {
        this.loop = requireNonNull(loop, "loop");
        this.log = requireNonNull(log, "log");
        this.onLost = requireNonNull(onLost, "onLost");
        thread.setDaemon(true);
    }

    /** Starts the watchdog's thread. */
    public void start() {
        thread.start();
    }

    /** Stops the watchdog. */
    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!check()) {
                Thread.sleep(CHECK_INTERVAL_MS);
            }
            onLost.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Checks the loop once.
     *
     * @return whether the loop is lost
     */
    boolean check() {
        EventLoop.LoopStatus status = loop.status();
        boolean sameEvent = status.busy() && status.eventCount() == lastEventCount;
        repeatedChecks = sameEvent ? repeatedChecks + 1 : 0;
        lastEventCount = status.eventCount();
        checkWait(status);
        if (repeatedChecks == CHECKS_UNTIL_LOGGED) {
            log(EventCode.LOOP_BUSY, status);
        }
        if (repeatedChecks < CHECKS_UNTIL_LOST && !status.hasDied()) {
            return false;
        }
        log(EventCode.LOOP_LOST, status);
        return true;
    }

    private void checkWait(EventLoop.LoopStatus status) {
        if (!behind && status.waitMs() >= BEHIND_MS) {
            behind = true;
            logWait(EventCode.LOOP_BEHIND, status);
        } else if (behind && status.waitMs() < CAUGHT_UP_MS) {
            behind = false;
            logWait(EventCode.LOOP_CAUGHT_UP, status);
        }
    }

    private void logWait(EventCode code, EventLoop.LoopStatus status) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("wait_ms", status.waitMs());
        fields.put("queued", status.queued());
        log.handle(new Effect.Log(code, "", fields));
    }

    private void log(EventCode code, EventLoop.LoopStatus status) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("event", status.eventType());
        fields.put("busy_ms", repeatedChecks * CHECK_INTERVAL_MS);
        fields.put("thread_ended", status.hasDied());
        fields.put(
                "stack",
                Arrays.stream(status.stack())
                        .limit(MAX_STACK_FRAMES)
                        .map(Object::toString)
                        .collect(Collectors.joining(" < ")));
        log.handle(new Effect.Log(code, "", fields));
    }
}
