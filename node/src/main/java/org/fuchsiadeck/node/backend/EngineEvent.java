package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;

/**
 * One server-sent event of a model engine.
 */
sealed interface EngineEvent {
    /**
     * A token.
     *
     * @param token the token
     */
    record TokenEvent(Token token) implements EngineEvent {}

    /**
     * The end of a whole answer.
     *
     * @param tokens tokens in the answer, as the engine counts; -1 if it does not say
     * @param recomputed tokens the engine computed again
     * @param event the event, byte for byte
     */
    record EndEvent(int tokens, int recomputed, byte[] event) implements EngineEvent {}

    /**
     * The end of a failed answer.
     *
     * @param error what the engine says
     */
    record ErrorEvent(String error) implements EngineEvent {}
}
