package org.fuchsiadeck.testbed.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * One request and the way to answer it. The answer may be given later and from any thread, but from one at a time; the
 * first answer wins and later ones are ignored.
 */
public final class Exchange extends IncomingRequest {
    private static final String JSON = "application/json;charset=UTF-8";

    private final Response response;

    private final Connection<?> connection;

    private final AtomicBoolean answered = new AtomicBoolean();

    private volatile CloseListener<Closeable, CloseType> closeListener;

    Exchange(Request request, Response response) {
        super(request);
        this.response = response;
        this.connection = request.getRequest().getConnection();
    }

    void begin() {
        ReadGate.begin(connection);
    }

    /** Notices a closed connection from now on if the answer is still to come. */
    void watch() {
        try {
            ReadGate.watch(connection);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /**
     * Sets a header of the answer.
     *
     * @param name its name
     * @param value its value
     * @return this exchange
     */
    public Exchange set(String name, String value) {
        response.setHeader(name, value);
        return this;
    }

    /**
     * Answers with JSON and ends the exchange.
     *
     * @param status the HTTP status
     * @param value what is written as JSON
     */
    public void json(int status, Object value) {
        if (claim()) {
            byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
            onWorker(() -> {
                send(status, bytes, bytes.length);
                end();
            });
        }
    }

    /**
     * Answers with {@code {}} and status 200.
     */
    public void ok() {
        json(200, Map.of());
    }

    /**
     * Sends the first half of an answer and closes the connection.
     *
     * @param status the HTTP status
     * @param value what would be the whole answer
     */
    public void half(int status, Object value) {
        if (claim()) {
            byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
            onWorker(() -> {
                send(status, Arrays.copyOf(bytes, bytes.length / 2), bytes.length);
                connection.closeSilently();
            });
        }
    }

    /**
     * Answers with JSON, then writes bytes to the connection that belong to no request.
     *
     * @param status the HTTP status
     * @param value what is written as JSON
     * @param surplus bytes that follow the answer
     */
    public void jsonThenBytes(int status, Object value, byte[] surplus) {
        json(status, value);
        onWorker(() -> writeRaw(surplus));
    }

    /**
     * Starts an answer in chunks.
     *
     * @param contentType its type
     * @return where the chunks go; closed at once if the exchange has been answered
     */
    public ChunkStream stream(String contentType) {
        boolean first = claim();
        if (first) {
            response.setStatus(200);
            response.setContentType(contentType);
        }
        return new ChunkStream(response, connection, !first, () -> onWorker(this::end));
    }

    /**
     * Closes the connection, with no answer if none was given.
     */
    public void drop() {
        answered.set(true);
        connection.terminateSilently();
    }

    /**
     * Runs an action when the connection closes before the answer has ended. A later call replaces the action.
     *
     * @param action what to run
     */
    public void onClose(Runnable action) {
        forgetCloseListener();
        closeListener = (c, type) -> action.run();
        connection.addCloseListener(closeListener);
    }

    /**
     * Tells whether the exchange still waits for its answer.
     *
     * @return false once answered or dropped
     */
    public boolean isOpen() {
        return !answered.get() && connection.isOpen();
    }

    private void send(int status, byte[] bytes, int length) {
        response.setStatus(status);
        response.setContentType(JSON);
        response.setContentLength(length);
        try {
            var out = response.getNIOOutputStream();
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /** Ends the answer. On the worker, so that the server is done with the request before it is resumed. */
    private void end() {
        forgetCloseListener();
        if (connection.isOpen()) {
            response.finish();
            response.resume();
            ReadGate.end(connection);
        }
    }

    private void writeRaw(byte[] bytes) {
        Transport transport = connection.getTransport();
        var buffer = Buffers.wrap(transport.getMemoryManager(), bytes);
        try {
            ((TCPNIOTransport) transport).write((TCPNIOConnection) connection, buffer);
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    private void onWorker(Runnable action) {
        try {
            connection.getTransport().getWorkerThreadPool().execute(action);
        } catch (RejectedExecutionException e) {
            connection.terminateSilently(); // the server has been killed
        }
    }

    private void forgetCloseListener() {
        CloseListener<Closeable, CloseType> listener = closeListener;
        if (listener != null) {
            connection.removeCloseListener(listener);
        }
    }

    private boolean claim() {
        return answered.compareAndSet(false, true) && connection.isOpen();
    }
}
