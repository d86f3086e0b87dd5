package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * What the front keeps of a caller's connection. While a request waits for its answer, the connection is read all the
 * same, so that a caller who leaves is noticed; what a caller sends ahead is held until the answer is written.
 */
final class CallerConnection {
    private static final Attribute<CallerConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(CallerConnection.class.getName());

    /** The least rate at which a caller has to send or take, in bytes per millisecond. */
    static final int SLOWEST_BYTES_PER_MS = 32;

    /** What the connection waits for. */
    private enum Phase {
        IDLE,
        READING,
        ANSWERING
    }

    private final Connection<?> connection;
    private final Queue<FilterChainContext> ahead = new ArrayDeque<>();
    private final FramingCheck framing = new FramingCheck();
    private Phase phase = Phase.IDLE;
    private long sinceNanos = System.nanoTime();
    private long receivedBytes;
    private boolean closed;
    private int pendingBytes;
    private long pendingNanos;
    private CallerResponse response;
    private Runnable onGone = () -> {};
    private Runnable onSlow;

    private CallerConnection(Connection<?> connection) {
        this.connection = connection;
    }

    static CallerConnection of(Connection<?> connection) {
        CallerConnection found = ATTRIBUTE.get(connection);
        if (found == null) {
            found = new CallerConnection(connection);
            ATTRIBUTE.set(connection, found);
        }
        return found;
    }

    /** Notes that bytes came. Returns whether they are held back. */
    synchronized boolean holdBack(FilterChainContext ctx) {
        if (phase == Phase.ANSWERING || !ahead.isEmpty() && ahead.peek() != ctx) {
            ahead.add(ctx);
            return true;
        }
        ahead.poll();
        if (phase == Phase.IDLE) {
            phase = Phase.READING;
            sinceNanos = System.nanoTime();
            receivedBytes = 0;
            framing.begin();
        }
        framing.read((Buffer) ctx.getMessage());
        receivedBytes += ((Buffer) ctx.getMessage()).remaining();
        return false;
    }

    /** Notes that the head of a request was read. */
    synchronized void begin(CallerResponse started, Runnable slow) {
        response = started;
        onSlow = slow;
        phase = Phase.READING;
    }

    /**
     * Notes that the request is whole. Returns false if it was given up before, so that it must not run.
     */
    synchronized boolean isWhole() {
        if (closed || onSlow == null) {
            return false;
        }
        phase = Phase.ANSWERING;
        onSlow = null;
        return true;
    }

    /** Watches the caller of a whole request. If it is gone already, the action runs at once. */
    void watch(Runnable gone) {
        boolean late;
        synchronized (this) {
            late = closed;
            onGone = gone;
        }
        if (late) {
            gone.run();
            return;
        }
        enableReading();
    }

    /**
     * Expects more of a request's body. Grizzly stops reading from a connection whose request is suspended once it has
     * handed a part of the body out.
     *
     * @param expect asks for the next part; runs once what was read so far is handled
     */
    void readOn(Runnable expect) {
        SelectorTasks.runAfterReads(connection, () -> {
            expect.run();
            enableReading();
        });
    }

    private void enableReading() {
        try {
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /** Tells whether the head of the request in progress gives the length of its body more than once. */
    synchronized boolean isLengthAmbiguous() {
        return framing.isAmbiguous();
    }

    /** Notes that the answer was written. */
    void answered() {
        SelectorTasks.runAfterReads(connection, this::next);
    }

    private void next() {
        synchronized (this) {
            if (response != null) {
                response.flushed();
            }
            response = null;
            onGone = () -> {};
            onSlow = null;
            phase = Phase.IDLE;
            sinceNanos = System.nanoTime();
        }
        for (FilterChainContext held = firstHeld(); held != null; held = firstHeld()) {
            held.resume();
        }
    }

    private synchronized FilterChainContext firstHeld() {
        return phase == Phase.ANSWERING ? null : ahead.peek();
    }

    /** Notes that the connection has closed. */
    void closed() {
        CallerResponse open;
        Runnable gone;
        synchronized (this) {
            closed = true;
            open = response;
            gone = onGone;
            response = null;
            onGone = () -> {};
            ahead.clear();
        }
        if (open == null) {
            return;
        }
        boolean answered = open.isEnding();
        open.gone();
        if (!answered) {
            gone.run();
        }
    }

    /** Tells whether a request on the connection has not had the last byte of its answer. */
    synchronized boolean isUnfinished() {
        return response != null;
    }

    /** Gives up a caller that sends or takes nothing for too long. */
    void sweep(long slowMs, long idleMs) {
        Runnable slow;
        boolean close;
        synchronized (this) {
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
            boolean stalled = isStalled(waitedMs, slowMs, idleMs);
            slow = stalled && phase == Phase.READING ? onSlow : null;
            onSlow = slow == null ? onSlow : null;
            close = stalled && slow == null;
        }
        if (slow != null) {
            slow.run();
        }
        if (close) {
            connection.terminateSilently();
        }
    }

    /** Gives up a caller who took no byte of its answer for some time. Called at each sweep while bytes are short. */
    void sweepTight(long stuckMs) {
        boolean stuck;
        synchronized (this) {
            long now = System.nanoTime();
            int pending = ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes();
            if (phase != Phase.ANSWERING || pending == 0 || pending != pendingBytes) {
                pendingBytes = pending;
                pendingNanos = now;
            }
            stuck = TimeUnit.NANOSECONDS.toMillis(now - pendingNanos) > stuckMs;
        }
        if (stuck) {
            connection.terminateSilently();
        }
    }

    private boolean isStalled(long waitedMs, long slowMs, long idleMs) {
        return switch (phase) {
            case IDLE -> waitedMs > idleMs;
            case READING -> waitedMs > slowMs + receivedBytes / SLOWEST_BYTES_PER_MS;
            case ANSWERING -> response != null && response.isStalled(slowMs);
        };
    }
}
