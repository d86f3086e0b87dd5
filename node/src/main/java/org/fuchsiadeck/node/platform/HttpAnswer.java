package org.fuchsiadeck.node.platform;

import java.util.OptionalLong;

import static java.util.Objects.requireNonNull;

/**
 * A whole answer to an {@link HttpCall}.
 *
 * @param status the HTTP status
 * @param body the body as text
 * @param retryAfterMs the wait that the server asks for, in milliseconds
 */
public record HttpAnswer(int status, String body, OptionalLong retryAfterMs) {
    public HttpAnswer {
        requireNonNull(body, "body");
        requireNonNull(retryAfterMs, "retryAfterMs");
    }
}
