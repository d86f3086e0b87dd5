package org.fuchsiadeck.node.http;

import java.nio.charset.StandardCharsets;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

import static java.util.Objects.requireNonNull;

/**
 * Final response to bytes that are not a request, so that no codec has parsed them.
 */
public final class ErrorResponse {
    private static final int BAD_REQUEST = 400;
    private static final int HEAD_TOO_LARGE = 431;
    private static final String LINE_END = "\r\n";

    private final StringBuilder head;
    private final byte[] body;

    /**
     * Creates a response.
     *
     * @param kind what is wrong with the request
     * @param body the body
     */
    public ErrorResponse(MalformedMessageException.Kind kind, byte[] body) {
        this.body = requireNonNull(body, "body");
        this.head = new StringBuilder("HTTP/1.1 ")
                .append(status(kind))
                .append(' ')
                .append(reasonPhrase(kind))
                .append(LINE_END);
        add("Connection", "close");
        add("Content-Length", String.valueOf(body.length));
    }

    /**
     * Returns the status for a malformed request.
     *
     * @param kind what is wrong with the request
     * @return the HTTP status
     */
    public static int status(MalformedMessageException.Kind kind) {
        return kind == MalformedMessageException.Kind.TOO_LARGE ? HEAD_TOO_LARGE : BAD_REQUEST;
    }

    private static String reasonPhrase(MalformedMessageException.Kind kind) {
        return kind == MalformedMessageException.Kind.TOO_LARGE ? "Request Header Fields Too Large" : "Bad Request";
    }

    /**
     * Adds a header field.
     *
     * @param name its name
     * @param value its value
     * @return this response
     */
    public ErrorResponse add(String name, String value) {
        head.append(name).append(": ").append(value).append(LINE_END);
        return this;
    }

    /**
     * Writes the response.
     *
     * @param connection the connection
     * @param close closes the connection; runs once the response is written, and also if that fails
     */
    public void write(Connection<?> connection, Runnable close) {
        byte[] start = (head + LINE_END).getBytes(StandardCharsets.ISO_8859_1);
        MemoryManager<?> memory = MemoryManager.DEFAULT_MEMORY_MANAGER;
        @SuppressWarnings("unchecked")
        Connection<Object> target = (Connection<Object>) connection;
        target.write(
                Buffers.appendBuffers(memory, Buffers.wrap(memory, start), Buffers.wrap(memory, body)),
                new EmptyCompletionHandler<WriteResult<Object, Object>>() {
                    @Override
                    public void completed(WriteResult<Object, Object> result) {
                        close.run();
                    }

                    @Override
                    public void failed(Throwable error) {
                        close.run();
                    }
                });
    }
}
