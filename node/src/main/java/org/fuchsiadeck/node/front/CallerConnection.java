package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.http.RequestGate;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * What the front keeps of a caller's connection. While a request waits for its answer, the connection is read all the
 * same, so that a caller who leaves is noticed; what a caller sends ahead waits in the {@link RequestGate}.
 */
final class CallerConnection {
    private static final Attribute<CallerConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(CallerConnection.class.getName());

    /** The least rate at which a caller has to send or take, in bytes per millisecond. */
    static final int SLOWEST_BYTES_PER_MS = 32;

    /** Time in which a caller can read a last answer before the connection is closed, in milliseconds. */
    private static final long CLOSING_MS = 2_000;

    private static final int REQUEST_TIMEOUT = 408;
    private static final Refusal SLOW =
            Refusal.notRun(REQUEST_TIMEOUT, "slow_sender", "The request did not come in time.");

    /** What the connection waits for. */
    private enum Phase {
        IDLE,
        READING,
        ANSWERING,
        CLOSING
    }

    private final Connection<?> connection;
    private Phase phase = Phase.IDLE;
    private long sinceNanos = System.nanoTime();
    private long receivedBytes;
    private boolean closed;
    private long answeredNanos;
    private boolean answeredBefore;
    private int pendingBytes;
    private long pendingNanos;
    private CallerResponse response;
    private Runnable onGone = () -> {};
    private Consumer<Refusal> onUnfinished;

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

    /** Notes that bytes came. Those that come while a request waits for its answer are of later requests. */
    synchronized void received(int bytes) {
        if (phase == Phase.IDLE) {
            startReading();
        }
        if (phase == Phase.READING) {
            receivedBytes += bytes;
        }
    }

    private void startReading() {
        phase = Phase.READING;
        sinceNanos = System.nanoTime();
        receivedBytes = 0;
    }

    /**
     * Notes that the head of a request was read.
     *
     * @param started the way back to the caller
     * @param unfinished refuses the request if its body does not come, or is malformed
     */
    synchronized void begin(CallerResponse started, Consumer<Refusal> unfinished) {
        response = started;
        onUnfinished = unfinished;
        phase = Phase.READING;
    }

    /**
     * Notes that the request is whole. Returns false if it was given up before, so that it must not run.
     */
    synchronized boolean isWhole() {
        if (closed || onUnfinished == null) {
            return false;
        }
        phase = Phase.ANSWERING;
        onUnfinished = null;
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
        }
    }

    /**
     * Expects more of a request's body.
     *
     * @param expect asks for the next part; runs once what was read so far is handled
     */
    void readOn(Runnable expect) {
        SelectorTasks.runAfterReads(connection, expect);
    }

    /** Refuses the request whose body is being read, unless it has an answer. Returns false if there is no request. */
    boolean refuseUnfinished(Refusal refusal) {
        Consumer<Refusal> refuse;
        synchronized (this) {
            if (response == null) {
                return false;
            }
            refuse = onUnfinished;
            onUnfinished = null;
        }
        if (refuse != null) {
            refuse.accept(refusal);
        }
        return true;
    }

    /** Notes that the answer was written. */
    void answered() {
        SelectorTasks.runAfterReads(connection, this::next);
    }

    /**
     * Ends the answers on the connection. It is closed by the caller, or after a while; a close with bytes unread would
     * take the last answer away from the caller.
     */
    void closeOutput() {
        synchronized (this) {
            phase = Phase.CLOSING;
            sinceNanos = System.nanoTime();
        }
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            connection.closeWithReason(e);
        }
    }

    private void next() {
        synchronized (this) {
            if (response != null) {
                response.flushed();
            }
            response = null;
            onGone = () -> {};
            onUnfinished = null;
            phase = Phase.IDLE;
            sinceNanos = System.nanoTime();
            answeredNanos = sinceNanos;
            answeredBefore = true;
            if (RequestGate.holdsBytes(connection)) {
                startReading();
            }
        }
        RequestGate.answered(connection);
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

    /**
     * Returns for how long the request that is read now may have waited for its selector thread, in milliseconds. A
     * caller does not wait for an answer before it has had the one to its previous request.
     */
    synchronized long readDelayMs(SelectorDelays delays) {
        long delayMs = delays.readDelayMs(connection);
        return answeredBefore
                ? Math.min(delayMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos))
                : delayMs;
    }

    /** Tells whether a request on the connection has not had the last byte of its answer. */
    synchronized boolean isUnfinished() {
        return response != null;
    }

    /** Gives up a caller that sends or takes nothing for too long. */
    void sweep(long slowMs, long idleMs) {
        boolean refuse;
        boolean close;
        synchronized (this) {
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
            boolean stalled = isStalled(waitedMs, slowMs, idleMs);
            refuse = stalled && phase == Phase.READING && onUnfinished != null;
            close = stalled && !refuse;
        }
        if (refuse) {
            refuseUnfinished(SLOW);
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
            case CLOSING -> waitedMs > CLOSING_MS;
            case ANSWERING -> response != null && response.isStalled(slowMs);
        };
    }
}
