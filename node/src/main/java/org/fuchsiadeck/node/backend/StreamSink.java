package org.fuchsiadeck.node.backend;

import java.util.function.Consumer;

import org.fuchsiadeck.node.exchange.Token;

import static java.util.Objects.requireNonNull;

/**
 * Receives the tokens and the end of a streamed answer.
 *
 * @param onToken receives each token, in order
 * @param onEnd receives the end of a complete answer
 * @param onError receives the error reported by the engine
 */
public record StreamSink(Consumer<Token> onToken, Consumer<End> onEnd, Consumer<String> onError) {
    public StreamSink {
        requireNonNull(onToken, "token");
        requireNonNull(onEnd, "done");
        requireNonNull(onError, "failed");
    }

    /**
     * The end of a complete stream.
     *
     * @param deliveredTokens the number of tokens in the complete answer
     * @param recomputedTokens the number of tokens that the engine recomputed
     * @param event the bytes of the end event; empty if the stream has no separate end event
     */
    public record End(int deliveredTokens, int recomputedTokens, byte[] event) {
        public End {
            requireNonNull(event, "event");
        }
    }
}
