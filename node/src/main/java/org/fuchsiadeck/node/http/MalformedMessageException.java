package org.fuchsiadeck.node.http;

import static java.util.Objects.requireNonNull;

/**
 * Bytes that are not an HTTP message in the accepted grammar. Where the next message begins is unknown, so the connection
 * must not be read on.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    private final Kind kind;

    MalformedMessageException(Kind kind, String detail) {
        super(detail);
        this.kind = requireNonNull(kind, "kind");
    }

    /** What is wrong with a message. */
    public enum Kind {
        /** It is not in the grammar. */
        SYNTAX,
        /** Its head, or the trailer of its body, is longer than allowed. */
        TOO_LARGE
    }

    /**
     * Returns what is wrong with the message.
     *
     * @return the kind of error
     */
    public Kind kind() {
        return kind;
    }

    static MalformedMessageException syntax(String detail) {
        return new MalformedMessageException(Kind.SYNTAX, detail);
    }
}
