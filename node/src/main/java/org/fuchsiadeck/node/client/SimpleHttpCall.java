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
 * Single HTTP request without a body, {@code GET} or {@code POST}, on a connection that is closed afterwards.
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
    private volatile CallFailure.CallPhase phase = CallFailure.CallPhase.CONNECTING;
    private boolean completed;

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
     * @param client the client that opens the connection
     * @param address the address of the server
     * @param uri the path and query
     * @param maxBytes the maximum size of the response body, in bytes
     * @param result called once, with the body of a response with status 200 or else with the failure
     * @return the started call
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
     * @param client the client that opens the connection
     * @param address the address of the server
     * @param uri the path and query
     * @param maxBytes the maximum size of the response body, in bytes
     * @param result called once, with the body of a response with status 200 or else with the failure
     * @return the started call
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
     * Returns the time since the call was started.
     *
     * @return the age, in milliseconds
     */
    public long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    /**
     * Cancels the call, which then fails.
     *
     * @param detail the reason
     */
    public void cancel(String detail) {
        fail(detail);
    }

    @Override
    public void onConnected(HttpConnection opened) {
        synchronized (this) {
            connection = opened;
            if (completed) {
                opened.close();
                return;
            }
        }
        phase = CallFailure.CallPhase.AWAITING;
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
        phase = CallFailure.CallPhase.READING;
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
            fail("response body exceeds " + maxBytes + " bytes");
            return;
        }
        body.writeBytes(copy);
    }

    @Override
    public void onMalformed(String detail) {
        phase = CallFailure.CallPhase.READING;
        fail(detail);
    }

    @Override
    public void onEnd() {
        complete(Either.right(body.toByteArray()));
    }

    @Override
    public void onLost(String detail) {
        fail(detail);
    }

    private void fail(String detail) {
        complete(Either.left(new CallFailure(address, phase, detail)));
    }

    private void complete(Either<CallFailure, byte[]> outcome) {
        HttpConnection used;
        synchronized (this) {
            if (completed) {
                return;
            }
            completed = true;
            used = connection;
        }
        if (used != null) {
            used.close();
        }
        result.accept(outcome);
    }
}
