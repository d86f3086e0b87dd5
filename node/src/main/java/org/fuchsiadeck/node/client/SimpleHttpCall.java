package org.fuchsiadeck.node.client;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Address;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;

/**
 * One plain {@code GET}, or {@code POST} without a body, over a connection of its own.
 */
public final class SimpleHttpCall implements ConnectHandler, ResponseListener {
    private static final int OK = 200;

    private final String method;
    private final Address address;
    private final String uri;
    private final int maxBytes;
    private final Consumer<Either<CallFailure, byte[]>> result;
    private final long startedNanos = System.nanoTime();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpConnection connection;
    private volatile CallFailure.CallPhase step = CallFailure.CallPhase.CONNECTING;
    private boolean ended;

    private SimpleHttpCall(
            String method, Address address, String uri, int maxBytes, Consumer<Either<CallFailure, byte[]>> result) {
        this.method = method;
        this.address = address;
        this.uri = uri;
        this.maxBytes = maxBytes;
        this.result = result;
    }

    /**
     * Starts a {@code GET}.
     *
     * @param client makes the connection
     * @param address the server
     * @param uri the path and query
     * @param maxBytes the longest answer, in bytes
     * @param result takes the body of an answer with status 200, or what was seen instead; called once
     * @return the call
     */
    public static SimpleHttpCall get(
            HttpClient client,
            Address address,
            String uri,
            int maxBytes,
            Consumer<Either<CallFailure, byte[]>> result) {
        return start(client, new SimpleHttpCall("GET", address, uri, maxBytes, result));
    }

    /**
     * Starts a {@code POST} without a body.
     *
     * @param client makes the connection
     * @param address the server
     * @param uri the path and query
     * @param maxBytes the longest answer, in bytes
     * @param result takes the body of an answer with status 200, or what was seen instead; called once
     * @return the call
     */
    public static SimpleHttpCall post(
            HttpClient client,
            Address address,
            String uri,
            int maxBytes,
            Consumer<Either<CallFailure, byte[]>> result) {
        return start(client, new SimpleHttpCall("POST", address, uri, maxBytes, result));
    }

    private static SimpleHttpCall start(HttpClient client, SimpleHttpCall call) {
        client.connect(call.address, call);
        return call;
    }

    /**
     * Returns the time since the call began.
     *
     * @return the age, in milliseconds
     */
    public long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /**
     * Gives up the call.
     *
     * @param detail why
     */
    public void cancel(String detail) {
        fail(detail);
    }

    @Override
    public void onConnected(HttpConnection opened) {
        synchronized (this) {
            connection = opened;
            if (ended) {
                opened.close();
                return;
            }
        }
        step = CallFailure.CallPhase.AWAITING;
        HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                .method(method)
                .uri(uri)
                .protocol(Protocol.HTTP_1_1)
                .header("Host", address.toString())
                .header("Connection", "close");
        if (method.equals("POST")) {
            head.contentLength(0);
        }
        HttpPacket request = HttpContent.builder(head.build()).last(true).build();
        opened.send(request, this);
    }

    @Override
    public void onFailed(String detail) {
        fail(detail);
    }

    @Override
    public void onHead(HttpResponsePacket head) {
        step = CallFailure.CallPhase.READING;
        boolean delimited = head.isChunked() || head.getContentLength() >= 0;
        if (head.getStatus() != OK || !delimited) {
            fail("status " + head.getStatus());
        }
    }

    @Override
    public void onBody(Buffer part) {
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        if (body.size() + copy.length > maxBytes) {
            fail("the answer is longer than " + maxBytes + " bytes");
            return;
        }
        body.writeBytes(copy);
    }

    @Override
    public void onMalformed(String detail) {
        step = CallFailure.CallPhase.READING;
        fail(detail);
    }

    @Override
    public void onEnd() {
        end(Either.right(body.toByteArray()));
    }

    @Override
    public void onLost(String detail) {
        fail(detail);
    }

    private void fail(String detail) {
        end(Either.left(new CallFailure(address, step, detail)));
    }

    private void end(Either<CallFailure, byte[]> outcome) {
        HttpConnection used;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            used = connection;
        }
        if (used != null) {
            used.close();
        }
        result.accept(outcome);
    }
}
