package org.fuchsiadeck.node.front;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.node.exchange.Refusal;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/**
 * Reads the body of a caller's request as it comes, up to a limit.
 */
final class BodyReader implements ReadHandler {
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 1_000;

    private final NIOInputStream in;
    private final Runnable demand;
    private final Executor afterRead;
    private final long maxBytes;
    private final IntPredicate room;
    private final Consumer<byte[]> whole;
    private final Consumer<Refusal> broken;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean notified;

    /**
     * Creates a reader.
     *
     * @param in the body
     * @param demand asks for the next part of the body to be passed on
     * @param afterRead runs an action once what was read from the connection is handled
     * @param maxBytes the longest body, in bytes
     * @param room counts bytes before they are kept
     * @param whole takes the whole body
     * @param broken takes the refusal of a body that is not taken
     */
    BodyReader(
            NIOInputStream in,
            Runnable demand,
            Executor afterRead,
            long maxBytes,
            IntPredicate room,
            Consumer<byte[]> whole,
            Consumer<Refusal> broken) {
        this.in = in;
        this.demand = demand;
        this.afterRead = afterRead;
        this.maxBytes = maxBytes;
        this.room = room;
        this.whole = whole;
        this.broken = broken;
    }

    static Refusal tooLarge(long maxBytes) {
        return Refusal.notRun(TOO_LARGE, "body_too_large", "The body is longer than " + maxBytes + " bytes.");
    }

    static Refusal nodeFull() {
        String detail = "The node holds too many bytes for its callers.";
        return new Refusal(Outcome.NOT_RUN, UNAVAILABLE, RETRY_AFTER_MS, "node_full", detail);
    }

    /** Reads what is there, or asks for the next part. A part that comes while nobody waits for it would be lost. */
    void start() {
        notified = false;
        in.notifyAvailable(this);
        if (!notified) {
            demand.run();
        }
    }

    @Override
    public void onDataAvailable() throws IOException {
        notified = true;
        if (take()) {
            afterRead.execute(this::start);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        notified = true;
        if (take()) {
            whole.accept(bytes.toByteArray());
        }
    }

    @Override
    public void onError(Throwable error) {
        notified = true;
        broken.accept(Refusal.notRun(BAD_REQUEST, "bad_body", "The body could not be read."));
    }

    private boolean take() throws IOException {
        int available = in.readyData();
        if (bytes.size() + (long) available > maxBytes) {
            broken.accept(tooLarge(maxBytes));
            return false;
        }
        if (!room.test(available)) {
            broken.accept(nodeFull());
            return false;
        }
        byte[] part = new byte[available];
        int read = available == 0 ? 0 : in.read(part);
        bytes.write(part, 0, Math.max(0, read));
        return true;
    }
}
