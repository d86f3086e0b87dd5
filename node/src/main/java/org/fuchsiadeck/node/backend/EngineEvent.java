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
    record Generated(Token token) implements EngineEvent {}

    /**
     * The end of a whole answer.
     *
     * @param tokens tokens in the answer, as the engine counts; -1 if it does not say
     * @param recomputed tokens the engine computed again
     * @param event the event, byte for byte
     */
    record Done(int tokens, int recomputed, byte[] event) implements EngineEvent {}

    /**
     * The end of a failed answer.
     *
     * @param error what the engine says
     */
    record Failed(String error) implements EngineEvent {}
}
