package org.fuchsiadeck.node.settings;

import org.fuchsiadeck.core.model.Checks;

/**
 * What a node takes from callers and backend servers.
 *
 * @param maxBodyBytes the longest request body, in bytes
 * @param maxHeaderBytes the longest head of a request, in bytes
 * @param maxAnswerBytes the longest plain answer of a backend server, in bytes
 * @param slowSenderTimeoutMs longest time for a caller to send a request, or to take nothing of its answer, in
 *     milliseconds
 * @param maxConnections most connections from callers
 * @param maxStreams most streams in progress
 * @param maxBufferedBytes most bytes held for all callers: bodies, answers and what streams were sent
 */
public record Limits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxAnswerBytes,
        long slowSenderTimeoutMs,
        int maxConnections,
        int maxStreams,
        int maxBufferedBytes) {
    /** The limits where the settings give none. */
    public static final Limits DEFAULT = new Limits(1 << 20, 16 << 10, 4 << 20, 10_000, 2_000, 1_000, 64 << 20);

    private static final int MAX_BYTES = 64 << 20;
    private static final int MIN_HEADER_BYTES = 1 << 10;
    private static final int MAX_HEADER_BYTES = 1 << 20;
    private static final long MIN_TIMEOUT_MS = 10;
    private static final long MAX_TIMEOUT_MS = 3_600_000;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MIN_BUFFERED_BYTES = 64 << 10;

    public Limits {
        Checks.inRange(maxBodyBytes, 0, MAX_BYTES, "max_body_bytes");
        Checks.inRange(maxHeaderBytes, MIN_HEADER_BYTES, MAX_HEADER_BYTES, "max_header_bytes");
        Checks.inRange(maxAnswerBytes, 0, MAX_BYTES, "max_answer_bytes");
        Checks.inRange(slowSenderTimeoutMs, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS, "slow_sender_timeout_ms");
        Checks.inRange(maxConnections, 1, MAX_CONNECTIONS, "max_connections");
        Checks.inRange(maxStreams, 0, MAX_CONNECTIONS, "max_streams");
        Checks.inRange(maxBufferedBytes, MIN_BUFFERED_BYTES, Integer.MAX_VALUE, "max_buffered_bytes");
    }
}
