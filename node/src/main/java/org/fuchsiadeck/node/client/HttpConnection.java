package org.fuchsiadeck.node.client;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiadeck.core.model.Address;
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
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;

import static java.util.Objects.requireNonNull;

/**
 * One connection to an HTTP server, with at most one request in progress.
 */
public final class HttpConnection {
    private static final Attribute<HttpConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HttpConnection.class.getName());

    private final Connection<Object> connection;
    private final Address peer;
    private final long openedNanos = System.nanoTime();
    private volatile long answeredNanos = openedNanos;
    private AnswerListener listener;
    private HttpResponsePacket head;
    private boolean keepAlive = true;
    private Consumer<String> onStray = detail -> {};
    private Runnable onClosed = () -> {};
    private boolean paused;
    private FilterChainContext suspended;

    private HttpConnection(Connection<Object> connection, Address peer) {
        this.connection = connection;
        this.peer = peer;
    }

    static HttpConnection of(Connection<Object> connection, Address peer) {
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
    public long silentMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos);
    }

    /**
     * Sets what to run when the connection closes, and when bytes come that answer no request. The connection is closed
     * after the latter.
     *
     * @param closed runs when the connection has closed
     * @param stray takes what was seen
     */
    public synchronized void watch(Runnable closed, Consumer<String> stray) {
        onClosed = requireNonNull(closed, "closed");
        onStray = requireNonNull(stray, "stray");
    }

    /**
     * Sends a request.
     *
     * @param request the request, whole
     * @param answer takes the answer
     */
    public void send(HttpPacket request, AnswerListener answer) {
        synchronized (this) {
            listener = requireNonNull(answer, "answer");
            head = null;
        }
        if (!connection.isOpen()) {
            closed();
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
    public void afterRead(Runnable action) {
        NIOConnection nio = (NIOConnection) (Connection<?>) connection;
        NIOTransport transport = (NIOTransport) nio.getTransport();
        transport.getSelectorHandler().enque(nio.getSelectorRunner(), () -> done(action), null);
    }

    /**
     * Tells whether another request may be sent after the last answer.
     *
     * @return whether the server keeps the connection open and nothing is in progress
     */
    public synchronized boolean isReusable() {
        return keepAlive && listener == null && connection.isOpen();
    }

    private static boolean done(Runnable action) {
        action.run();
        return true;
    }

    void received(HttpContent content) {
        answeredNanos = System.nanoTime();
        HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
        AnswerListener current = current();
        if (current == null) {
            onStray.accept("bytes that answer no request");
            close();
            return;
        }
        if (head != packet) {
            head = packet;
            keepAlive = packet.getProcessingState().isKeepAlive();
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

    void broken(String detail) {
        AnswerListener current = current();
        if (current != null && take(current)) {
            current.onBroken(detail);
        }
        close();
    }

    void closed() {
        lose("the connection closed");
        onClosed.run();
    }

    private void lose(String detail) {
        AnswerListener current = current();
        if (current != null && take(current)) {
            current.onLost(detail);
        }
    }

    private synchronized AnswerListener current() {
        return listener;
    }

    private synchronized boolean take(AnswerListener expected) {
        if (listener != expected) {
            return false;
        }
        listener = null;
        return true;
    }
}
