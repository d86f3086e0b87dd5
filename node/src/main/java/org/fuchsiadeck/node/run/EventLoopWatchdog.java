package org.fuchsiadeck.node.run;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;

import static java.util.Objects.requireNonNull;

/**
 * Looks at an event loop from a thread of its own. An event that takes long is logged with the stack of the loop's thread.
 * When it does not end, or the thread has ended by an error, this node decides nothing any more while its ports still
 * answer, and whoever runs it is told. Time is counted in looks and not by the clock: the event loop of a process that was
 * paused has not been at work meanwhile.
 */
public final class EventLoopWatchdog implements AutoCloseable {
    /** Looks at the same event until it is logged: events take a few milliseconds at most. */
    static final int CHECKS_UNTIL_LOGGED = 4;

    /** Looks at the same event until the node is given up: longer than a collection of a full heap takes. */
    static final int CHECKS_UNTIL_LOST = 20;

    private static final long LOOK_MS = 250;

    /** Frames that the line names. */
    private static final int FRAMES = 20;

    private final EventLoop loop;
    private final EffectHandler<Effect.Log> log;
    private final Runnable lost;
    private final Thread thread = new Thread(this::run, "event-loop-watch");
    private long turn = -1;
    private int looks;

    /**
     * Creates a watch; {@link #start} starts it.
     *
     * @param loop the event loop
     * @param log takes the lines
     * @param lost run at most once, when the loop does not come back
     */
    public EventLoopWatchdog(EventLoop loop, EffectHandler<Effect.Log> log, Runnable lost) {
        this.loop = requireNonNull(loop, "loop");
        this.log = requireNonNull(log, "log");
        this.lost = requireNonNull(lost, "lost");
        thread.setDaemon(true);
    }

    /** Starts the watch's thread. */
    public void start() {
        thread.start();
    }

    /** Stops the watch. */
    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!check()) {
                Thread.sleep(LOOK_MS);
            }
            lost.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Looks once.
     *
     * @return whether the loop is lost
     */
    boolean check() {
        EventLoop.LoopStatus now = loop.status();
        boolean same = now.busy() && now.eventCount() == turn;
        looks = same ? looks + 1 : 0;
        turn = now.eventCount();
        if (looks == CHECKS_UNTIL_LOGGED) {
            log(EventCode.LOOP_BUSY, now);
        }
        if (looks < CHECKS_UNTIL_LOST && !now.hasDied()) {
            return false;
        }
        log(EventCode.LOOP_LOST, now);
        return true;
    }

    private void log(EventCode code, EventLoop.LoopStatus now) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("event", now.eventType());
        fields.put("busy_ms", looks * LOOK_MS);
        fields.put("thread_ended", now.hasDied());
        fields.put(
                "stack",
                Arrays.stream(now.stack()).limit(FRAMES).map(Object::toString).collect(Collectors.joining(" < ")));
        log.handle(new Effect.Log(code, "", fields));
    }
}
