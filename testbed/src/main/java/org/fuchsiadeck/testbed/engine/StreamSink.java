package org.fuchsiadeck.testbed.engine;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.ChunkStream;
import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Json;
import org.fuchsiadeck.testbed.http.Routes;

/**
 * An answer as a stream of events. The headers go out with the first one.
 */
final class StreamSink implements TokenSink {
    private static final byte[][] TAILS = tails();

    private final Exchange x;

    private final Consumer<Exchange> headers;

    private ChunkStream stream;

    StreamSink(Exchange x, Consumer<Exchange> headers) {
        this.x = x;
        this.headers = headers;
    }

    @Override
    public boolean canWrite() {
        return stream == null || stream.canWrite();
    }

    @Override
    public void whenWritable(Runnable action) {
        stream().whenWritable(action);
    }

    @Override
    public void token(int i, int word) {
        byte[] head = ("data: {\"i\":" + i).getBytes(StandardCharsets.US_ASCII);
        byte[] tail = TAILS[word];
        byte[] event = new byte[head.length + tail.length];
        System.arraycopy(head, 0, event, 0, head.length);
        System.arraycopy(tail, 0, event, head.length, tail.length);
        stream().write(event);
    }

    @Override
    public void done(Usage usage) {
        event(new Done(true, usage.tokens(), usage.promptTokens(), usage.cachedTokens(), usage.recomputedTokens()));
        stream().end();
    }

    @Override
    public void fail(String error) {
        if (stream == null) {
            headers.accept(x);
            x.json(500, new Routes.Problem(error));
            return;
        }
        event(new Routes.Problem(error));
        stream.end();
    }

    @Override
    public void cut() {
        stream().end();
    }

    @Override
    public void refuse(String error) {
        headers.accept(x);
        x.set("X-Not-Run", "1").set("Retry-After", "1").json(503, new Routes.Problem(error));
    }

    private void event(Object data) {
        stream().write(("data: " + Json.write(data) + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    private ChunkStream stream() {
        if (stream == null) {
            headers.accept(x);
            stream = x.stream("text/event-stream");
        }
        return stream;
    }

    private static byte[][] tails() {
        byte[][] tails = new byte[Tokens.WORD_COUNT][];
        for (int i = 0; i < tails.length; i++) {
            tails[i] = (",\"t\":" + Json.write(Tokens.word(i)) + "}\n\n").getBytes(StandardCharsets.UTF_8);
        }
        return tails;
    }

    private record Done(boolean done, int tokens, int promptTokens, int cachedTokens, int recomputedTokens) {}
}
