package org.fuchsiadeck.node.backend;

import java.util.function.Consumer;

import org.fuchsiadeck.node.exchange.Token;

import static java.util.Objects.requireNonNull;

/**
 * Where the parts of a stream go.
 *
 * @param onToken takes each token, in order
 * @param onEnd takes the end of a whole answer
 * @param onError takes the engine's word for a failure
 */
public record StreamSink(Consumer<Token> onToken, Consumer<End> onEnd, Consumer<String> onError) {
    public StreamSink {
        requireNonNull(onToken, "token");
        requireNonNull(onEnd, "done");
        requireNonNull(onError, "failed");
    }

    /**
     * The end of a whole stream.
     *
     * @param deliveredTokens tokens in the whole answer
     * @param recomputedTokens tokens the engine computed again
     * @param event the last event, byte for byte; empty if the stream has none of its own
     */
    public record End(int deliveredTokens, int recomputedTokens, byte[] event) {
        public End {
            requireNonNull(event, "event");
        }
    }
}
