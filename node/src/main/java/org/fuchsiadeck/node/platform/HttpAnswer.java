package org.fuchsiadeck.node.platform;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import static java.util.Objects.requireNonNull;

/**
 * A whole answer to an {@link HttpCall}.
 *
 * @param status the HTTP status
 * @param body the body as text
 * @param retryAfterMs the wait that the server asks for, in milliseconds
 * @param headers the headers by their names in lower case; the last one of several of a name
 */
public record HttpAnswer(int status, String body, OptionalLong retryAfterMs, Map<String, String> headers) {
    public HttpAnswer {
        requireNonNull(body, "body");
        requireNonNull(retryAfterMs, "retryAfterMs");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates an answer without headers.
     *
     * @param status the HTTP status
     * @param body the body as text
     * @param retryAfterMs the wait that the server asks for, in milliseconds
     */
    public HttpAnswer(int status, String body, OptionalLong retryAfterMs) {
        this(status, body, retryAfterMs, Map.of());
    }

    /**
     * Returns a header.
     *
     * @param name the name of the header, in any case
     * @return the value, if the answer has the header
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
