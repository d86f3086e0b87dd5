package org.fuchsiadeck.testbed.http;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
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

import static java.util.stream.Collectors.toList;

/**
 * One request and the way to answer it. The answer may be given later and from any thread, but from one at a time; the
 * first answer wins and later ones are ignored.
 */
public final class Exchange {
    private static final String JSON = "application/json;charset=UTF-8";

    private final Request request;

    private final Response response;

    private final Connection<?> connection;

    private final List<String> path;

    private final AtomicBoolean answered = new AtomicBoolean();

    private volatile CloseListener<Closeable, CloseType> closeListener;

    private List<String> args = List.of();

    private String body = "";

    Exchange(Request request, Response response) {
        this.request = request;
        this.response = response;
        this.connection = request.getRequest().getConnection();
        this.path = segments(request.getRequestURI());
    }

    static List<String> segments(String uri) {
        return Arrays.stream(uri.split("/"))
                .filter(s -> !s.isEmpty())
                .map(s -> URLDecoder.decode(s.replace("+", "%2B"), StandardCharsets.UTF_8))
                .collect(toList());
    }

    void args(List<String> values) {
        args = values;
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

    void body(String text) {
        body = text;
    }

    /**
     * Gives the method.
     *
     * @return the HTTP method
     */
    public String method() {
        return request.getMethod().getMethodString();
    }

    /**
     * Gives the path.
     *
     * @return the decoded segments
     */
    public List<String> path() {
        return path;
    }

    /**
     * Gives a path segment that a {@code *} of the route matched.
     *
     * @param i which one, from 0
     * @return the decoded segment
     */
    public String arg(int i) {
        return args.get(i);
    }

    /**
     * Gives a query parameter.
     *
     * @param name its name
     * @param fallback the value if it is absent
     * @return the value
     */
    public String param(String name, String fallback) {
        String value = request.getParameter(name);
        return value == null ? fallback : value;
    }

    /**
     * Gives a numeric query parameter.
     *
     * @param name its name
     * @param fallback the value if it is absent
     * @return the value
     * @throws IllegalArgumentException if it is no number
     */
    public long param(String name, long fallback) {
        String value = request.getParameter(name);
        return value == null ? fallback : Long.parseLong(value);
    }

    /**
     * Gives a request header.
     *
     * @param name its name
     * @return the value, empty if absent
     */
    public String header(String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    /**
     * Gives the body.
     *
     * @return the text
     */
    public String body() {
        return body;
    }

    /**
     * Reads the body as JSON.
     *
     * @param <T> the type wanted
     * @param type the type wanted
     * @return the value
     * @throws IllegalArgumentException if the body is not of the type
     */
    public <T> T body(Class<T> type) {
        return Json.read(body, type);
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
