package org.fuchsiadeck.node.client;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

import static java.util.Objects.requireNonNull;

/**
 * Connection to an HTTP server that carries at most one request at a time.
 */
public final class HttpConnection {
    private static final Attribute<HttpConnection> ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HttpConnection.class.getName());

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

    /**
     * Time before the server's keep-alive timeout at which a connection is no longer reused, because the server may close it
     * while a request is in transit. A few times the network latency.
     */
    private static final long IDLE_MARGIN_MS = 300;

    private final Connection<Object> connection;
    private final Address peer;
    private final long openedNanos = System.nanoTime();
    private volatile long lastReadNanos = openedNanos;
    private ResponseListener listener;
    private HttpResponsePacket head;
    private int answers;
    private boolean keepAlive = true;
    private long idleLimitMs = Long.MAX_VALUE;
    private Consumer<String> onUnexpectedData = detail -> {};
    private Runnable onClosed = () -> {};
    private volatile boolean paused;
    private volatile boolean headInProgress;
    private ResponseGate.Feed feed;

    private HttpConnection(Connection<Object> connection, Address peer) {
        this.connection = connection;
        this.peer = peer;
    }

    static HttpConnection attach(Connection<Object> connection, Address peer) {
        HttpConnection attached = new HttpConnection(connection, peer);
        ATTRIBUTE.set(connection, attached);
        return attached;
    }

    static HttpConnection find(Connection<?> connection) {
        return ATTRIBUTE.get(connection);
    }

    /**
     * Returns the address of the server.
     *
     * @return the server's address
     */
    public Address peer() {
        return peer;
    }

    /**
     * Returns whether the connection is open. A close by the server may not have been detected yet.
     *
     * @return whether the connection is open
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
     * Returns the time since the last data was received from the server, or since the connection was opened.
     *
     * @return the time, in milliseconds
     */
    public long sinceLastReadMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReadNanos);
    }

    /**
     * Sets the callbacks for the close of the connection and for data received while no request is in progress. Such data
     * also closes the connection.
     *
     * @param closed the callback run after the connection has closed
     * @param unexpectedData the callback that receives a description of the unexpected data
     */
    public synchronized void setCallbacks(Runnable closed, Consumer<String> unexpectedData) {
        onClosed = requireNonNull(closed, "closed");
        onUnexpectedData = requireNonNull(unexpectedData, "unexpectedData");
    }

    /**
     * Sends a request.
     *
     * @param request the complete request
     * @param responseListener the listener for the response
     */
    public void send(HttpPacket request, ResponseListener responseListener) {
        synchronized (this) {
            listener = requireNonNull(responseListener, "responseListener");
            head = null;
            headInProgress = ((HttpRequestPacket) request.getHttpHeader()).isHeadRequest();
        }
        if (!connection.isOpen()) {
            handleClose(true);
            return;
        }
        connection.write(request, new EmptyCompletionHandler<WriteResult<HttpPacket, Object>>() {
            @Override
            public void failed(Throwable error) {
                reportLost("write failed: " + error.getMessage());
                close();
            }
        });
    }

    /** Closes the connection. A response in progress is reported as lost. */
    public void close() {
        connection.terminateSilently();
    }

    /** Pauses reading once the data being processed has been handled. */
    public void pauseReading() {
        paused = true;
    }

    /** Resumes reading. */
    public void resumeReading() {
        if (paused) {
            paused = false;
            runAfterReads(() -> {
                if (feed != null) {
                    feed.passOn();
                }
            });
        }
    }

    boolean isPaused() {
        return paused;
    }

    boolean isHeadInProgress() {
        return headInProgress;
    }

    boolean isAwaitingResponse() {
        return currentListener() != null;
    }

    /** Returns the responses of the connection. Called on its selector thread only. */
    ResponseGate.Feed feed(Supplier<ResponseGate.Feed> creator) {
        if (feed == null) {
            feed = creator.get();
        }
        return feed;
    }

    /**
     * Runs an action on the connection's selector thread, after the data read so far has been handled.
     *
     * @param action the action, which must not block
     */
    public void runAfterReads(Runnable action) {
        SelectorTasks.runAfterReads(connection, action);
    }

    /**
     * Returns whether another request may be sent on this connection.
     *
     * @return whether the connection is open, has no request in progress and is kept open by the server
     */
    public synchronized boolean isReusable() {
        return keepAlive && listener == null && connection.isOpen() && sinceLastReadMs() < idleLimitMs;
    }

    /**
     * Returns whether the answer that is being received is the first one on this connection.
     *
     * @return whether no other answer was received before
     */
    public boolean isFirstAnswer() {
        return answers == 1;
    }

    void handleContent(HttpContent content) {
        lastReadNanos = System.nanoTime();
        HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
        ResponseListener current = currentListener();
        if (current == null) {
            handleUnexpectedData();
            return;
        }
        if (head != packet) {
            head = packet;
            answers++;
            keepAlive = packet.getProcessingState().isKeepAlive();
            idleLimitMs = idleLimitMs(packet);
            current.onHead(packet);
        }
        if (content.getContent().hasRemaining() && currentListener() == current) {
            current.onBody(content.getContent());
        }
        if (content.isLast() && releaseListener(current)) {
            current.onEnd();
        }
    }

    void handleUnexpectedData() {
        onUnexpectedData.accept("bytes that answer no request");
        close();
    }

    void handleParseError(String detail) {
        ResponseListener current = currentListener();
        if (current != null && releaseListener(current)) {
            current.onMalformed(detail);
        }
        close();
    }

    /**
     * Handles the close of the connection. A body that has neither a length nor chunks ends when its connection closes.
     *
     * @param reset whether the connection was reset, so that the end of a body may be missing
     */
    void handleClose(boolean reset) {
        ResponseListener current = currentListener();
        HttpResponsePacket receivedHead = head;
        boolean complete =
                !reset && receivedHead != null && !receivedHead.isChunked() && receivedHead.getContentLength() < 0;
        if (current != null && complete && releaseListener(current)) {
            current.onEnd();
        }
        reportLost("the connection closed");
        onClosed.run();
    }

    /** Returns the server's keep-alive timeout minus a safety margin, in milliseconds. */
    private static long idleLimitMs(HttpResponsePacket packet) {
        String keepAliveHeader = packet.getHeader("Keep-Alive");
        if (keepAliveHeader == null) {
            return Long.MAX_VALUE;
        }
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAliveHeader);
        return timeout.find()
                ? TimeUnit.SECONDS.toMillis(Long.parseLong(timeout.group(1))) - IDLE_MARGIN_MS
                : Long.MAX_VALUE;
    }

    private void reportLost(String detail) {
        ResponseListener current = currentListener();
        if (current != null && releaseListener(current)) {
            current.onLost(detail);
        }
    }

    private synchronized ResponseListener currentListener() {
        return listener;
    }

    private synchronized boolean releaseListener(ResponseListener expected) {
        if (listener != expected) {
            return false;
        }
        listener = null;
        return true;
    }
}
