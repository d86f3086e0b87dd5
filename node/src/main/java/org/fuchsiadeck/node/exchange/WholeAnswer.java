package org.fuchsiadeck.node.exchange;

import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * A plain answer of a backend server, complete.
 *
 * @param status the HTTP status
 * @param contentType the content type, if one was given
 * @param bytes the body
 */
public record WholeAnswer(int status, Optional<String> contentType, byte[] bytes) {
    public WholeAnswer {
        requireNonNull(contentType, "contentType");
        requireNonNull(bytes, "bytes");
    }
}
