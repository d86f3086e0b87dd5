package org.fuchsiadeck.node.exchange;

import java.util.List;
import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * The parts of a caller's request that only the data path needs.
 *
 * @param uri the path with its query, as it came
 * @param contentType the content type, if one was given
 * @param headers the header fields that are passed on to the backend server
 * @param bytes the body
 */
public record CallerBody(String uri, Optional<String> contentType, List<Header> headers, byte[] bytes) {
    public CallerBody {
        requireNonNull(uri, "uri");
        requireNonNull(contentType, "contentType");
        headers = List.copyOf(headers);
        requireNonNull(bytes, "bytes");
    }

    /**
     * Makes a body without header fields to pass on.
     *
     * @param uri the path with its query, as it came
     * @param contentType the content type, if one was given
     * @param bytes the body
     */
    public CallerBody(String uri, Optional<String> contentType, byte[] bytes) {
        this(uri, contentType, List.of(), bytes);
    }
}
