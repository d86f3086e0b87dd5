package org.fuchsiadeck.node.backend;

/**
 * Names of the HTTP headers exchanged with backend servers.
 */
final class Headers {
    static final String REQUEST_ID = "X-Request-Id";
    static final String ATTEMPT = "X-Attempt";
    static final String DEADLINE_MS = "X-Deadline-Ms";
    static final String PRIORITY = "X-Priority";
    static final String ROUTE = "X-Route";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String NOT_RUN = "X-Not-Run";
    static final String LOAD = "X-Load";

    private Headers() {}
}
