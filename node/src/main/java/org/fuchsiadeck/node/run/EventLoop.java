package org.fuchsiadeck.node.run;

import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;
import org.jboss.logging.Logger;

import static java.util.Objects.requireNonNull;

/**
 * Reduces events one at a time on a dedicated thread and passes the resulting effects to the effect handler. Also runs
 * the timers requested by {@link Effect.Schedule}. Urgent events and timers go before all others; apart from that, a
 * timer fires after all events posted up to its due time.
 */
public final class EventLoop implements EventSink, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class);
    private static final int MAX_QUEUED_EVENTS = 10_000;
    private static final long MAX_WAIT_MS = 1_000;
    private static final long CLOSE_TIMEOUT_MS = 5_000;

    private final EventReducer reducer;
    private final EffectHandler<Effect> effects;
    private final BlockingQueue<QueuedEvent> queue = new PriorityBlockingQueue<>();
    private final AtomicLong queuedCount = new AtomicLong();
    private final PriorityQueue<ScheduledEvent> urgentTimers = new PriorityQueue<>();
    private final PriorityQueue<ScheduledEvent> timers = new PriorityQueue<>();
    private final long createdNanos = System.nanoTime();
    private final Thread thread = new Thread(this::loop, "event-loop");
    private final Counter failures;
    private final Timer reductions;
    private final Histogram waits;
    private volatile NodeState state;
    private volatile Event currentEvent;
    private volatile long startedEvents;
    private volatile long lastWaitMs;
    private volatile long currentSinceMs = Long.MAX_VALUE;
    private final RecentDelay recentDelay = new RecentDelay();
    private volatile boolean closed;
    private long scheduledCount;

    /**
     * Creates an event loop. It runs after {@link #start} is called.
     *
     * @param initial the initial state
     * @param reducer the reducer of the events
     * @param effects the handler of the effects
     * @param metrics the registry of the loop's metrics
     */
    public EventLoop(NodeState initial, EventReducer reducer, EffectHandler<Effect> effects, MetricRegistry metrics) {
        this.state = requireNonNull(initial, "initial");
        this.reducer = requireNonNull(reducer, "reducer");
        this.effects = requireNonNull(effects, "effects");
        this.failures = metrics.counter("loop.failures");
        this.reductions = metrics.timer("loop.reductions");
        this.waits = metrics.histogram("loop.wait_ms");
        metrics.registerGauge("loop.queued", queue::size);
    }

    /** Starts the loop's thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the state after the most recently reduced event.
     *
     * @return the current state
     */
    public NodeState state() {
        return state;
    }

    /**
     * Returns the monotonic time used for events and timers.
     *
     * @return the time since the loop was created, in milliseconds
     */
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNanos);
    }

    /**
     * Returns whether events wait for the loop for more than {@link RecentDelay#BEHIND_MS}, now or a short time ago.
     *
     * @return whether the loop is behind
     */
    public boolean isBehind() {
        return nowMs() - currentSinceMs > RecentDelay.BEHIND_MS || recentDelay.isBehind();
    }

    /** Returns a snapshot of the loop's activity. */
    LoopStatus status() {
        Event event = currentEvent;
        boolean hasDied = !closed && thread.getState() == Thread.State.TERMINATED;
        String eventType = event == null ? "" : event.getClass().getSimpleName();
        return new LoopStatus(startedEvents, eventType, event != null, hasDied, lastWaitMs, queue.size(), thread);
    }

    @Override
    public void post(Event event) {
        enqueue(event);
    }

    @Override
    public boolean offer(Event event) {
        return queue.size() < MAX_QUEUED_EVENTS && enqueue(event);
    }

    private boolean enqueue(Event event) {
        return queue.add(new QueuedEvent(event, nowMs(), queuedCount.incrementAndGet()));
    }

    /** Stops the loop and drops the queued events. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void schedule(Effect.Schedule effect) {
        scheduledCount++;
        PriorityQueue<ScheduledEvent> lane = effect.event().isUrgent() ? urgentTimers : timers;
        lane.add(new ScheduledEvent(effect.atMs(), scheduledCount, effect.event()));
    }

    private void loop() {
        while (!closed) {
            try {
                processNext();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Processes the next event or timer, in the order of their times even if the loop is running late. */
    private void processNext() throws InterruptedException {
        if (fireIfDue(urgentTimers, true)) {
            return;
        }
        boolean urgentQueued =
                Optional.ofNullable(queue.peek()).filter(QueuedEvent::isUrgent).isPresent();
        if (!urgentQueued && fireIfDue(timers, false)) {
            return;
        }
        QueuedEvent queued = queue.poll(maxWaitMs(), TimeUnit.MILLISECONDS);
        if (queued != null) {
            reduce(queued.event(), queued.atMs());
        }
    }

    private boolean fireIfDue(PriorityQueue<ScheduledEvent> lane, boolean urgent) {
        ScheduledEvent due = lane.peek();
        if (due == null || due.atMs() > nowMs() || hasEventQueuedBy(due.atMs(), urgent)) {
            return false;
        }
        lane.remove();
        reduce(due.event(), due.atMs());
        return true;
    }

    /**
     * Returns whether an event of the same urgency was queued up to a point in time. Such an event must be reduced before a
     * timer of that time, because it may be what the timer waits for, for example a connection made within its time limit.
     */
    private boolean hasEventQueuedBy(long atMs, boolean urgent) {
        QueuedEvent head = queue.peek();
        return head != null && head.isUrgent() == urgent && head.atMs() <= atMs;
    }

    private long maxWaitMs() {
        long nextMs = Math.min(dueMs(urgentTimers), dueMs(timers));
        return Math.max(0, Math.min(MAX_WAIT_MS, nextMs - nowMs()));
    }

    private static long dueMs(PriorityQueue<ScheduledEvent> lane) {
        ScheduledEvent next = lane.peek();
        return next == null ? Long.MAX_VALUE : next.atMs();
    }

    private void reduce(Event event, long sinceMs) {
        lastWaitMs = nowMs() - sinceMs;
        waits.update(lastWaitMs);
        recentDelay.record(lastWaitMs);
        currentSinceMs = sinceMs;
        startedEvents++;
        currentEvent = event;
        applyEvent(event);
        currentEvent = null;
        currentSinceMs = Long.MAX_VALUE;
    }

    private void applyEvent(Event event) {
        LOG.debugf("event %s", event);
        Step<NodeState> step;
        long startNanos = System.nanoTime();
        try {
            step = reducer.reduce(state, nowMs(), System.currentTimeMillis(), event);
        } catch (RuntimeException e) {
            failures.inc();
            LOG.errorf(e, "reducer failed on event %s", event);
            return;
        }
        reductions.update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
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
            LOG.errorf(e, "handler failed on effect %s", effect);
        }
    }

    /**
     * Snapshot of the loop's activity.
     *
     * @param eventCount number of events whose reduction has started
     * @param eventType simple class name of the event in progress; empty while the loop is idle
     * @param busy whether an event is in progress
     * @param hasDied whether the thread has terminated although the loop was not closed
     * @param waitMs how long the last event or timer waited for the loop, in milliseconds
     * @param queued number of events that wait
     * @param thread the loop's thread
     */
    record LoopStatus(
            long eventCount, String eventType, boolean busy, boolean hasDied, long waitMs, int queued, Thread thread) {
        StackTraceElement[] stack() {
            return thread.getStackTrace();
        }
    }

    private record QueuedEvent(Event event, long atMs, long order) implements Comparable<QueuedEvent> {
        boolean isUrgent() {
            return event.isUrgent();
        }

        @Override
        public int compareTo(QueuedEvent other) {
            int byUrgency = Boolean.compare(other.isUrgent(), isUrgent());
            return byUrgency != 0 ? byUrgency : Long.compare(order, other.order);
        }
    }

    private record ScheduledEvent(long atMs, long order, Event event) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
