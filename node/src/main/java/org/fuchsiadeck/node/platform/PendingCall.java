package org.fuchsiadeck.node.platform;

import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Try;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
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
final class PendingCall {
    private static final int MAX_ANSWER_BYTES = 32 << 20;
    private static final int MS_PER_SECOND = 1_000;

    private final HttpCall call;
    private final CompletableFuture<Either<HttpFailure, HttpAnswer>> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile HttpFailure.Step step = HttpFailure.Step.CONNECT;
    private volatile Connection<?> connection;

    PendingCall(HttpCall call) {
        this.call = call;
        CompletableFuture.delayedExecutor(call.timeoutMs(), TimeUnit.MILLISECONDS, Runnable::run)
                .execute(() -> fail("no whole answer within " + call.timeoutMs() + " ms"));
    }

    CompletionStage<Either<HttpFailure, HttpAnswer>> result() {
        return result.minimalCompletionStage();
    }

    /** Takes the open connection. Returns whether the request is still wanted. */
    boolean begin(Connection<?> c) {
        connection = c;
        if (result.isDone()) {
            c.closeSilently();
            return false;
        }
        step = HttpFailure.Step.WRITE;
        return true;
    }

    void written() {
        step = HttpFailure.Step.READ;
    }

    HttpContent request() {
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

    /** Takes a part of the answer. */
    void read(HttpContent content) {
        Buffer buffer = content.getContent();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        if (body.size() + bytes.length > MAX_ANSWER_BYTES) {
            fail("the answer is larger than " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        body.writeBytes(bytes);
        if (content.isLast()) {
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            complete(Either.right(new HttpAnswer(head.getStatus(), body.toString(UTF_8), retryAfterMs(head))));
        }
    }

    void fail(String detail) {
        boolean sent = step != HttpFailure.Step.CONNECT;
        complete(Either.left(new HttpFailure(step, call.to(), detail, sent)));
    }

    private void complete(Either<HttpFailure, HttpAnswer> outcome) {
        result.complete(outcome);
        Connection<?> c = connection;
        if (c != null) {
            c.closeSilently();
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
