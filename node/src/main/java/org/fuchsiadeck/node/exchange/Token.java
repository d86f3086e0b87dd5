package org.fuchsiadeck.node.exchange;

import static java.util.Objects.requireNonNull;

/**
 * One token of a streamed answer.
 *
 * @param index its place in the whole answer, from 0
 * @param text its text
 * @param event the server-sent event that carried it, byte for byte
 */
public record Token(int index, String text, byte[] event) {
    public Token {
        requireNonNull(text, "text");
        requireNonNull(event, "event");
    }
}
