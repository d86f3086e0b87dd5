package org.fuchsiadeck.node.exchange;

import static java.util.Objects.requireNonNull;

/**
 * The tokens of an answer that were passed on to the caller.
 *
 * @param text their text, one after the other
 * @param tokens how many they are
 */
public record Journal(String text, int tokens) {
    public Journal {
        requireNonNull(text, "text");
    }
}
