package org.fuchsiadeck.node.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.fuchsiadeck.node.client.HttpClient;

/**
 * Makes single HTTP calls, each over a connection of its own, so that a connection that has gone silent costs one call
 * at most.
 */
public final class HttpCalls implements AutoCloseable {
    /** Bytes of answers that all calls in progress hold together: many times a long list, a tenth of a small heap. */
    static final int MAX_HELD_BYTES = 16 << 20;

    private final HttpClient client;
    private final AtomicLong heldBytes = new AtomicLong();

    /**
     * Starts the client.
     *
     * @throws UncheckedIOException if the client cannot be started
     */
    public HttpCalls() {
        try {
            client = HttpClient.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Makes a call.
     *
     * @param call the call
     * @return completes with the answer or the failure within the call's time limit, and never exceptionally; what
     *     depends on it runs on the client's thread and must not block
     */
    public CompletionStage<Either<HttpFailure, HttpAnswer>> call(HttpCall call) {
        PendingCall p = new PendingCall(call, this::hold);
        try {
            client.connect(call.to(), p);
        } catch (RuntimeException e) {
            p.onFailed(String.valueOf(e.getMessage()));
        }
        return p.result();
    }

    private boolean hold(long bytes) {
        return heldBytes.addAndGet(bytes) <= MAX_HELD_BYTES;
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
