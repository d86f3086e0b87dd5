package org.fuchsiadeck.node.exchange;

import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * The parts of a caller's request that only the data path needs.
 *
 * @param uri the path with its query, as it came
 * @param contentType the content type, if one was given
 * @param bytes the body
 */
public record CallerBody(String uri, Optional<String> contentType, byte[] bytes) {
    public CallerBody {
        requireNonNull(uri, "uri");
        requireNonNull(contentType, "contentType");
        requireNonNull(bytes, "bytes");
    }
}
