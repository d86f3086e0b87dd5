package org.fuchsiadeck.node.exchange;

import java.util.List;
import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * A plain answer of a backend server, complete.
 *
 * @param status the HTTP status
 * @param contentType the content type, if one was given
 * @param headers the header fields that are passed on to the caller; empty where only the content type is
 * @param bytes the body
 */
public record WholeAnswer(int status, Optional<String> contentType, List<Header> headers, byte[] bytes) {
    public WholeAnswer {
        requireNonNull(contentType, "contentType");
        headers = List.copyOf(headers);
        requireNonNull(bytes, "bytes");
    }
}
