package org.fuchsiadeck.node.front;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.CallerChannel;
import org.fuchsiadeck.node.exchange.Header;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Writes the answer to one caller. Bytes wait here until the connection takes them; a pump moves them in batches, so
 * that no source of bytes waits for the caller.
 */
final class CallerResponse implements CallerChannel {
    private static final int FULL_BYTES = 32 << 10;
    private static final int TIGHT_FULL_BYTES = 4 << 10;
    private static final int OK = 200;

    private final Response response;
    private final Connection<?> connection;
    private final RequestId id;
    private final Executor pump;
    private final BooleanSupplier draining;
    private final CallerProtocol protocol;
    private final ByteBudget budget;
    private final ByteBudget.Account reading;
    private final ByteBudget.Account writing;
    private ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private ResponseHead head;
    private boolean headWritten;
    private boolean ending;
    private boolean finished;
    private boolean gone;
    private boolean scheduled;
    private boolean wasFull;
    private long blockedNanos;
    private int blockedBytes;
    private int unwrittenBytes;
    private Runnable drained = () -> {};

    /**
     * Creates the way back to a caller. The response must be suspended.
     *
     * @param response the response
     * @param connection the caller's connection
     * @param id the request's id
     * @param pump runs the writes
     * @param draining whether to close the connection after the answer
     * @param protocol how answers are written
     * @param budget counts the bytes that wait here
     */
    CallerResponse(
            Response response,
            Connection<?> connection,
            RequestId id,
            Executor pump,
            BooleanSupplier draining,
            CallerProtocol protocol,
            ByteBudget budget) {
        this.response = response;
        this.connection = connection;
        this.id = id;
        this.pump = pump;
        this.draining = draining;
        this.protocol = protocol;
        this.budget = budget;
        this.reading = budget.open();
        this.writing = budget.open();
    }

    @Override
    public synchronized void answer(WholeAnswer answer) {
        if (head == null && !ending) {
            head = new ResponseHead(answer.status(), protocol.answerHead(answer, id), false);
            finish(answer.bytes());
        }
    }

    @Override
    public synchronized void startStream(List<Header> headers) {
        if (head == null && !ending) {
            head = new ResponseHead(OK, protocol.streamHead(headers, id), false);
            schedule();
        }
    }

    @Override
    public synchronized void send(byte[] event) {
        if (ending) {
            return;
        }
        waiting.writeBytes(event);
        count();
        wasFull = wasFull || full();
        schedule();
    }

    @Override
    public synchronized void end(byte[] event) {
        if (!ending) {
            startStream(List.of());
            finish(event);
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        refuse(refusal, false);
    }

    /**
     * Gives a final answer of the node's own.
     *
     * @param refusal the answer
     * @param close whether to close the connection after it, since the request was not read to its end
     */
    synchronized void refuse(Refusal refusal, boolean close) {
        if (ending) {
            return;
        }
        if (head != null) {
            protocol.refusalEvent(refusal, id).ifPresentOrElse(this::finish, this::cut);
            return;
        }
        CallerProtocol.Message message = protocol.refusal(refusal, id);
        head = new ResponseHead(refusal.status(), message.headers(), close);
        finish(message.body());
    }

    private void cut() {
        ending = true;
        finished = true;
        closeUnlocked();
    }

    /** Closes the connection without this lock: its callbacks take locks under which other threads wait for this one. */
    private void closeUnlocked() {
        pump.execute(connection::terminateSilently);
    }

    @Override
    public void abort() {
        synchronized (this) {
            if (ending) {
                return;
            }
            ending = true;
            finished = true;
        }
        connection.terminateSilently();
    }

    @Override
    public synchronized boolean isGone() {
        return gone || !connection.isOpen();
    }

    @Override
    public void afterNextPoll(Runnable action) {
        SelectorTasks.runAfterNextPoll(connection, action);
    }

    @Override
    public synchronized boolean full() {
        return waiting.size() > fullBytes();
    }

    @Override
    public synchronized void onDrained(Runnable action) {
        drained = action;
    }

    /** Notes that the connection has closed. */
    synchronized void gone() {
        gone = true;
        ending = true;
        finished = true;
        waiting = new ByteArrayOutputStream();
        flushed();
    }

    /** Notes that the last byte of the answer was written. */
    void flushed() {
        reading.close();
        writing.close();
    }

    /** Counts bytes of the request's body before they are kept. Returns false if the node has no room for them. */
    boolean takeBody(int bytes) {
        return reading.take(bytes);
    }

    /** Notes that the body of the request is no longer kept here. */
    void bodyPassedOn() {
        reading.close();
    }

    /** Tells whether a final answer was given, though it may not be written yet. */
    synchronized boolean isEnding() {
        return ending;
    }

    /** Tells whether bytes have waited for the caller for too long. */
    synchronized boolean isStalled(long slowMs) {
        long blockedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - blockedNanos);
        long bytesAhead = blockedBytes + (long) ConnectionGuard.SEND_BUFFER_BYTES;
        return blockedNanos != 0 && blockedMs > slowMs + bytesAhead / CallerConnection.SLOWEST_BYTES_PER_MS;
    }

    private void finish(byte[] last) {
        waiting.writeBytes(last);
        count();
        ending = true;
        schedule();
    }

    private void count() {
        writing.set(waiting.size() + (long) unwrittenBytes);
    }

    private int fullBytes() {
        return budget.isTight() ? TIGHT_FULL_BYTES : FULL_BYTES;
    }

    private void schedule() {
        if (!scheduled && !finished) {
            scheduled = true;
            pump.execute(this::pump);
        }
    }

    private void pump() {
        try {
            while (pumpOnce()) {
                runDrained();
            }
        } catch (IOException | RuntimeException e) {
            connection.terminateSilently();
        }
        runDrained();
    }

    private boolean pumpOnce() throws IOException {
        NIOOutputStream out = response.getNIOOutputStream();
        byte[] batch;
        boolean last;
        boolean first;
        synchronized (this) {
            if (!finished && unwrittenBytes > 0 && out.canWrite()) {
                unwrittenBytes = 0;
                count();
            }
            if (finished || waiting.size() == 0 && !ending && headWritten) {
                scheduled = false;
                return false;
            }
            if (!out.canWrite()) {
                blockedNanos = System.nanoTime();
                out.notifyCanWrite(new Resume());
                return false;
            }
            batch = waiting.toByteArray();
            waiting.reset();
            last = ending;
            blockedNanos = last ? System.nanoTime() : 0;
            blockedBytes = batch.length;
            unwrittenBytes = batch.length;
            count();
            finished = last;
            first = !headWritten;
            headWritten = true;
        }
        if (first) {
            head.write(response, last ? batch.length : -1, draining.getAsBoolean());
        }
        out.write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, batch));
        if (last) {
            response.resume();
            return false;
        }
        out.flush();
        return true;
    }

    private void runDrained() {
        Runnable action;
        synchronized (this) {
            if (!wasFull || waiting.size() > fullBytes() / 2) {
                return;
            }
            wasFull = false;
            action = drained;
        }
        action.run();
    }

    private final class Resume implements WriteHandler {
        @Override
        public void onWritePossible() {
            pump.execute(CallerResponse.this::pump);
        }

        @Override
        public void onError(Throwable error) {
            closeUnlocked();
        }
    }
}
