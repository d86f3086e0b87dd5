package org.fuchsiadeck.node.platform;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.fuchsiadeck.node.client.ConnectHandler;
import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.client.ResponseListener;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A call between its start and its answer, failure or timeout. Whichever comes first counts; the connection is closed
 * after it.
 */
final class PendingCall implements ConnectHandler, ResponseListener {
    private static final int MS_PER_SECOND = 1_000;

    private final HttpCall call;
    private final Held held;
    private final CompletableFuture<Either<HttpFailure, HttpAnswer>> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile HttpFailure.Step step = HttpFailure.Step.CONNECT;
    private volatile HttpConnection connection;
    private HttpResponsePacket head;
    private boolean released;

    /** Counts the bytes that all calls hold. */
    @FunctionalInterface
    interface Held {
        /**
         * Counts more bytes, or fewer.
         *
         * @param bytes how many more, negative for what is let go
         * @return whether so many may be held
         */
        boolean add(long bytes);
    }

    PendingCall(HttpCall call, Held held) {
        this.call = call;
        this.held = held;
        CompletableFuture.delayedExecutor(call.timeoutMs(), TimeUnit.MILLISECONDS, Runnable::run)
                .execute(() -> fail("no whole answer within " + call.timeoutMs() + " ms"));
    }

    CompletionStage<Either<HttpFailure, HttpAnswer>> result() {
        return result.minimalCompletionStage();
    }

    @Override
    public void onConnected(HttpConnection opened) {
        connection = opened;
        if (result.isDone()) {
            opened.close();
            return;
        }
        step = HttpFailure.Step.WRITE;
        opened.send(request(), this);
    }

    @Override
    public void onFailed(String detail) {
        fail(detail);
    }

    @Override
    public void onHead(HttpResponsePacket packet) {
        step = HttpFailure.Step.READ;
        head = packet;
    }

    @Override
    public void onBody(Buffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        if (!gather(bytes)) {
            fail("the answers in progress are larger than " + HttpCalls.MAX_HELD_BYTES + " bytes");
        }
    }

    private synchronized boolean gather(byte[] bytes) {
        if (released) {
            return true;
        }
        body.writeBytes(bytes);
        return held.add(bytes.length);
    }

    private synchronized void release() {
        if (!released) {
            released = true;
            held.add(-body.size());
        }
    }

    @Override
    public void onEnd() {
        String text;
        synchronized (this) {
            text = body.toString(UTF_8);
        }
        complete(Either.right(new HttpAnswer(head.getStatus(), text, retryAfterMs(head), headers(head))));
    }

    @Override
    public void onMalformed(String detail) {
        fail(detail);
    }

    @Override
    public void onLost(String detail) {
        fail(detail);
    }

    private static Map<String, String> headers(HttpResponsePacket packet) {
        Map<String, String> headers = new HashMap<>();
        for (String name : packet.getHeaders().names()) {
            headers.put(name.toLowerCase(Locale.ROOT), packet.getHeader(name));
        }
        return headers;
    }

    private HttpContent request() {
        byte[] bytes = call.body().getBytes(UTF_8);
        HttpRequestPacket.Builder request = HttpRequestPacket.builder()
                .method(call.method())
                .uri(call.target())
                .protocol("HTTP/1.1")
                .header("Host", call.to().toString())
                .header("Connection", "close");
        if (bytes.length > 0 || !call.method().equals("GET")) {
            request.header("Content-Type", "text/plain; charset=utf-8").contentLength(bytes.length);
        }
        call.headers().forEach(request::header);
        return request.build()
                .httpContentBuilder()
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes))
                .last(true)
                .build();
    }

    private void fail(String detail) {
        boolean sent = step != HttpFailure.Step.CONNECT;
        complete(Either.left(new HttpFailure(step, call.to(), detail, sent)));
    }

    private void complete(Either<HttpFailure, HttpAnswer> outcome) {
        release();
        result.complete(outcome);
        HttpConnection c = connection;
        if (c != null) {
            c.close();
        }
    }

    private static OptionalLong retryAfterMs(HttpResponsePacket head) {
        String text = head.getHeader("Retry-After");
        if (text == null) {
            return OptionalLong.empty();
        }
        return Try.of(() -> OptionalLong.of(Long.parseLong(text.trim()) * MS_PER_SECOND))
                .getOrElse(OptionalLong.empty());
    }
}
