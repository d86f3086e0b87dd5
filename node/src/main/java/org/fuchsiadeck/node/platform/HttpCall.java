package org.fuchsiadeck.node.platform;

import java.util.Map;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A small HTTP request whose answer fits in memory.
 *
 * @param to the server
 * @param method the HTTP method
 * @param target path and query, encoded
 * @param headers the headers by name, besides those that every request has
 * @param body the body as text; empty for none
 * @param timeoutMs the longest wait for the whole answer, in milliseconds
 */
public record HttpCall(
        Address to, String method, String target, Map<String, String> headers, String body, long timeoutMs) {
    public HttpCall {
        requireNonNull(to, "to");
        Checks.notBlank(method, "method");
        Checks.notBlank(target, "target");
        headers = Map.copyOf(headers);
        requireNonNull(body, "body");
        Checks.inRange(timeoutMs, 1, Integer.MAX_VALUE, "timeoutMs");
    }
}
