package org.fuchsiadeck.node.client;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

import static java.util.Objects.requireNonNull;

/**
 * One connection to an HTTP server, with at most one request in progress.
 */
public final class HttpConnection {
    private static final Attribute<HttpConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HttpConnection.class.getName());

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

    /** A server may close an idle connection while a request is on its way: a few times the time over a network. */
    private static final long IDLE_MARGIN_MS = 300;

    private final Connection<Object> connection;
    private final Address peer;
    private final long openedNanos = System.nanoTime();
    private volatile long answeredNanos = openedNanos;
    private ResponseListener listener;
    private HttpResponsePacket head;
    private boolean keepAlive = true;
    private long idleLimitMs = Long.MAX_VALUE;
    private Consumer<String> onStray = detail -> {};
    private Runnable onClosed = () -> {};
    private boolean paused;
    private FilterChainContext suspended;

    private HttpConnection(Connection<Object> connection, Address peer) {
        this.connection = connection;
        this.peer = peer;
    }

    static HttpConnection attach(Connection<Object> connection, Address peer) {
        HttpConnection made = new HttpConnection(connection, peer);
        ATTRIBUTE.set(connection, made);
        return made;
    }

    static HttpConnection find(Connection<?> connection) {
        return ATTRIBUTE.get(connection);
    }

    /**
     * Returns the server's address.
     *
     * @return the address
     */
    public Address peer() {
        return peer;
    }

    /**
     * Tells whether the connection is open as far as this end knows.
     *
     * @return whether it is open
     */
    public boolean isOpen() {
        return connection.isOpen();
    }

    /**
     * Returns the time since the connection was opened.
     *
     * @return the age, in milliseconds
     */
    public long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedNanos);
    }

    /**
     * Returns the time since the server last sent anything on the connection, or since it was opened.
     *
     * @return the silence, in milliseconds
     */
    public long sinceLastReadMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos);
    }

    /**
     * Sets what to run when the connection closes, and when bytes come that answer no request. The connection is closed
     * after the latter.
     *
     * @param closed runs when the connection has closed
     * @param stray takes what was seen
     */
    public synchronized void setCallbacks(Runnable closed, Consumer<String> stray) {
        onClosed = requireNonNull(closed, "closed");
        onStray = requireNonNull(stray, "stray");
    }

    /**
     * Sends a request.
     *
     * @param request the request, whole
     * @param answer takes the answer
     */
    public void send(HttpPacket request, ResponseListener answer) {
        synchronized (this) {
            listener = requireNonNull(answer, "answer");
            head = null;
        }
        if (!connection.isOpen()) {
            handleClose(true);
            return;
        }
        connection.write(request, new EmptyCompletionHandler<WriteResult<HttpPacket, Object>>() {
            @Override
            public void failed(Throwable error) {
                lose("write failed: " + error.getMessage());
                close();
            }
        });
    }

    /** Closes the connection. An answer in progress is reported as lost. */
    public void close() {
        connection.terminateSilently();
        resumeReading();
    }

    /** Stops reading after the part in hand. */
    public synchronized void pauseReading() {
        paused = true;
    }

    /** Goes on reading. */
    public void resumeReading() {
        FilterChainContext context;
        synchronized (this) {
            paused = false;
            context = suspended;
            suspended = null;
        }
        if (context != null) {
            context.resume(context.getStopAction());
        }
    }

    /**
     * Runs an action on the connection's selector thread, after all that was read has been handled.
     *
     * @param action the action
     */
    public void runAfterReads(Runnable action) {
        SelectorTasks.runAfterReads(connection, action);
    }

    /**
     * Tells whether another request may be sent after the last answer.
     *
     * @return whether the server keeps the connection open and nothing is in progress
     */
    public synchronized boolean isReusable() {
        return keepAlive && listener == null && connection.isOpen() && sinceLastReadMs() < idleLimitMs;
    }

    void handleContent(HttpContent content) {
        answeredNanos = System.nanoTime();
        HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
        ResponseListener current = current();
        if (current == null) {
            onStray.accept("bytes that answer no request");
            close();
            return;
        }
        if (head != packet) {
            head = packet;
            keepAlive = packet.getProcessingState().isKeepAlive();
            idleLimitMs = idleLimitMs(packet);
            current.onHead(packet);
        }
        if (content.getContent().hasRemaining() && current() == current) {
            current.onBody(content.getContent());
        }
        if (content.isLast() && take(current)) {
            current.onEnd();
        }
    }

    NextAction suspendIfPaused(FilterChainContext ctx) {
        synchronized (this) {
            if (paused && connection.isOpen()) {
                ctx.suspend();
                suspended = ctx;
                return ctx.getSuspendAction();
            }
        }
        return ctx.getStopAction();
    }

    void handleParseError(String detail) {
        ResponseListener current = current();
        if (current != null && take(current)) {
            current.onMalformed(detail);
        }
        close();
    }

    /**
     * Notes that the connection has closed. A body that has neither a length nor chunks ends with its connection.
     *
     * @param reset whether it was reset, so that the end of a body may be missing
     */
    void handleClose(boolean reset) {
        ResponseListener current = current();
        HttpResponsePacket begun = head;
        boolean whole = !reset && begun != null && !begun.isChunked() && begun.getContentLength() < 0;
        if (current != null && whole && take(current)) {
            current.onEnd();
        }
        lose("the connection closed");
        onClosed.run();
    }

    /** How long the server keeps an idle connection, less a margin for a request on its way. */
    private static long idleLimitMs(HttpResponsePacket packet) {
        String keep = packet.getHeader("Keep-Alive");
        if (keep == null) {
            return Long.MAX_VALUE;
        }
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keep);
        return timeout.find()
                ? TimeUnit.SECONDS.toMillis(Long.parseLong(timeout.group(1))) - IDLE_MARGIN_MS
                : Long.MAX_VALUE;
    }

    private void lose(String detail) {
        ResponseListener current = current();
        if (current != null && take(current)) {
            current.onLost(detail);
        }
    }

    private synchronized ResponseListener current() {
        return listener;
    }

    private synchronized boolean take(ResponseListener expected) {
        if (listener != expected) {
            return false;
        }
        listener = null;
        return true;
    }
}
