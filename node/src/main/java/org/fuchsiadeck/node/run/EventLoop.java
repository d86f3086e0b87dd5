package org.fuchsiadeck.node.run;

import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;
import org.jboss.logging.Logger;

import static java.util.Objects.requireNonNull;

/**
 * Reduces events one after the other on a thread of its own and hands the effects to their handlers. Keeps the timers
 * that {@link Effect.Schedule} asks for; a timer comes after all events that were posted up to its time.
 */
public final class EventLoop implements EventSink, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class);
    private static final int MAX_QUEUED = 10_000;
    private static final long IDLE_WAIT_MS = 1_000;
    private static final long CLOSE_WAIT_MS = 5_000;

    private final EventReducer decisions;
    private final EffectHandler<Effect> effects;
    private final BlockingQueue<Posted> queue = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timed> timers = new PriorityQueue<>();
    private final long originNanos = System.nanoTime();
    private final Thread thread = new Thread(this::loop, "event-loop");
    private final Counter failures;
    private final Timer reductions;
    private volatile NodeState state;
    private volatile Event current;
    private volatile long turns;
    private volatile boolean closed;
    private long timerCount;

    /**
     * Creates the loop; {@link #start} starts it.
     *
     * @param initial the first state
     * @param decisions the reducer
     * @param effects runs the effects
     * @param metrics where the loop reports its figures
     */
    public EventLoop(NodeState initial, EventReducer decisions, EffectHandler<Effect> effects, MetricRegistry metrics) {
        this.state = requireNonNull(initial, "initial");
        this.decisions = requireNonNull(decisions, "decisions");
        this.effects = requireNonNull(effects, "effects");
        this.failures = metrics.counter("loop.failures");
        this.reductions = metrics.timer("loop.reductions");
        metrics.registerGauge("loop.queued", queue::size);
    }

    /** Starts the loop's thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the state after the last event.
     *
     * @return the state
     */
    public NodeState state() {
        return state;
    }

    /**
     * Returns the monotonic time that events are stamped with.
     *
     * @return the time since the loop was created, in milliseconds
     */
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    }

    /**
     * Returns what the loop is doing.
     *
     * @return its turn
     */
    LoopStatus status() {
        Event event = current;
        boolean dead = !closed && thread.getState() == Thread.State.TERMINATED;
        String kind = event == null ? "" : event.getClass().getSimpleName();
        return new LoopStatus(turns, kind, event != null, dead, thread);
    }

    @Override
    public void post(Event event) {
        queue.add(new Posted(event, nowMs()));
    }

    @Override
    public boolean offer(Event event) {
        return queue.size() < MAX_QUEUED && queue.add(new Posted(event, nowMs()));
    }

    /** Stops the loop; events that wait are dropped. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void schedule(Effect.Schedule effect) {
        timerCount++;
        timers.add(new Timed(effect.atMs(), timerCount, effect.event()));
    }

    private void loop() {
        while (!closed) {
            try {
                next();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Events and timers come in the order of their times, also when the loop is behind. */
    private void next() throws InterruptedException {
        Timed due = timers.peek();
        if (due != null && due.atMs() <= nowMs() && !waitsSince(due.atMs())) {
            timers.remove();
            reduce(due.event());
            return;
        }
        Posted posted = queue.poll(waitMs(), TimeUnit.MILLISECONDS);
        if (posted != null) {
            reduce(posted.event());
        }
    }

    /** A timer must not act on what an event says otherwise that was there before it, and only waits to be reduced. */
    private boolean waitsSince(long atMs) {
        Posted first = queue.peek();
        return first != null && first.atMs() <= atMs;
    }

    private long waitMs() {
        Timed due = timers.peek();
        if (due == null) {
            return IDLE_WAIT_MS;
        }
        return Math.max(0, Math.min(IDLE_WAIT_MS, due.atMs() - nowMs()));
    }

    private void reduce(Event event) {
        turns++;
        current = event;
        reduced(event);
        current = null;
    }

    private void reduced(Event event) {
        LOG.debugf("event %s", event);
        Step<NodeState> step;
        long begun = System.nanoTime();
        try {
            step = decisions.reduce(state, nowMs(), System.currentTimeMillis(), event);
        } catch (RuntimeException e) {
            failures.inc();
            LOG.errorf(e, "the reducer failed on %s", event);
            return;
        }
        reductions.update(System.nanoTime() - begun, TimeUnit.NANOSECONDS);
        state = step.state();
        step.effects().forEach(this::run);
    }

    private void run(Effect effect) {
        LOG.debugf("effect %s", effect);
        if (effect instanceof Effect.Schedule schedule) {
            schedule(schedule);
            return;
        }
        try {
            effects.handle(effect);
        } catch (RuntimeException e) {
            failures.inc();
            LOG.errorf(e, "an effect failed: %s", effect);
        }
    }

    /**
     * What the loop is doing.
     *
     * @param eventCount events reduced so far
     * @param eventType the kind of event that is being reduced; empty while the loop waits
     * @param busy whether an event is being reduced
     * @param hasDied whether the thread has ended without being asked to
     * @param thread the loop's thread
     */
    record LoopStatus(long eventCount, String eventType, boolean busy, boolean hasDied, Thread thread) {
        StackTraceElement[] stack() {
            return thread.getStackTrace();
        }
    }

    private record Posted(Event event, long atMs) {}

    private record Timed(long atMs, long order, Event event) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
