package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;

/**
 * A server-sent event from a model engine.
 */
sealed interface EngineEvent {
    /**
     * An event with one generated token.
     *
     * @param token the token
     */
    record TokenEvent(Token token) implements EngineEvent {}

    /**
     * The end of a complete answer.
     *
     * @param tokens the number of tokens in the answer according to the engine; -1 if not reported
     * @param recomputed the number of tokens that the engine recomputed
     * @param event the bytes of the event
     */
    record EndEvent(int tokens, int recomputed, byte[] event) implements EngineEvent {}

    /**
     * The end of a failed answer.
     *
     * @param error the error reported by the engine
     */
    record ErrorEvent(String error) implements EngineEvent {}
}
