package org.fuchsiadeck.testbed.engine;

import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Routes;

/**
 * An answer as one JSON object.
 */
final class WholeSink implements TokenSink {
    private final Exchange x;

    private final Consumer<Exchange> headers;

    private final StringBuilder text;

    WholeSink(Exchange x, Consumer<Exchange> headers, String resumed) {
        this.x = x;
        this.headers = headers;
        this.text = new StringBuilder(resumed);
    }

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public void whenWritable(Runnable action) {
        action.run();
    }

    @Override
    public void token(int i, int word) {
        text.append(Tokens.word(word));
    }

    @Override
    public void done(Usage usage) {
        headers.accept(x);
        x.json(
                200,
                new Whole(
                        text.toString(),
                        usage.tokens(),
                        usage.promptTokens(),
                        usage.cachedTokens(),
                        usage.recomputedTokens()));
    }

    @Override
    public void fail(String error) {
        headers.accept(x);
        x.json(500, new Routes.Problem(error));
    }

    @Override
    public void cut() {
        x.drop();
    }

    @Override
    public void refuse(String error) {
        headers.accept(x);
        x.set("X-Not-Run", "1").set("Retry-After", "1").json(503, new Routes.Problem(error));
    }

    private record Whole(String text, int tokens, int promptTokens, int cachedTokens, int recomputedTokens) {}
}
