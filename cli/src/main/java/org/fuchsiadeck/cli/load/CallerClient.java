package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.client.ConnectHandler;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.client.HttpConnection;

/**
 * Sends requests as callers do, over kept connections, and never one of them twice.
 */
final class CallerClient implements AutoCloseable {
    private static final long MAX_IDLE_MS = 2_000;

    private final HttpClient http;
    private final Map<Address, Deque<HttpConnection>> idle = new ConcurrentHashMap<>();

    /**
     * Starts the client.
     *
     * @throws UncheckedIOException if it can't start
     */
    CallerClient() {
        try {
            http = HttpClient.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends a request. Returns at once.
     *
     * @param request the request
     * @param handler takes what comes of it
     * @return the call, to be given up if it takes too long
     */
    PendingAnswer send(CallerRequest request, AnswerHandler handler) {
        PendingAnswer call = new PendingAnswer(request, handler, this::keep);
        HttpConnection kept = take(request.to());
        if (kept != null) {
            call.begin(kept);
            return call;
        }
        http.connect(request.to(), new ConnectHandler() {
            @Override
            public void onConnected(HttpConnection connection) {
                call.begin(connection);
            }

            @Override
            public void onFailed(String detail) {
                call.unconnected(detail);
            }
        });
        return call;
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private HttpConnection take(Address to) {
        Deque<HttpConnection> kept = idle.get(to);
        HttpConnection next = kept == null ? null : kept.pollFirst();
        while (next != null && !fresh(next)) {
            next.close();
            next = kept.pollFirst();
        }
        return next;
    }

    private static boolean fresh(HttpConnection connection) {
        return connection.isReusable() && connection.sinceLastReadMs() < MAX_IDLE_MS;
    }

    private void keep(HttpConnection connection) {
        if (connection.isReusable()) {
            idle.computeIfAbsent(connection.peer(), a -> new ConcurrentLinkedDeque<>())
                    .addFirst(connection);
        } else {
            connection.close();
        }
    }
}
