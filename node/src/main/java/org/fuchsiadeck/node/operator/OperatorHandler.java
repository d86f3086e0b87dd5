package org.fuchsiadeck.node.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Answers operators.
 */
final class OperatorHandler extends HttpHandler {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String SCHEME = "Bearer ";

    private final byte[] expected;
    private final Operations operations;

    OperatorHandler(String token, Operations operations) {
        this.expected = (SCHEME + token).getBytes(StandardCharsets.UTF_8);
        this.operations = operations;
    }

    @Override
    public void service(Request request, Response response) throws IOException {
        String call = request.getMethod().getMethodString() + " " + request.getRequestURI();
        switch (call) {
            case "GET /live" -> answer(response, OK, json().put("live", true));
            case "GET /ready" -> ready(response);
            case "GET /metrics/text" -> metricsText(response);
            default -> guarded(call, request, response);
        }
    }

    private void guarded(String call, Request request, Response response) throws IOException {
        if (!isOperator(request)) {
            response.setHeader("WWW-Authenticate", SCHEME.trim());
            answer(response, UNAUTHORIZED, json().put("error", "unauthorized"));
            return;
        }
        switch (call) {
            case "GET /dump" -> answer(response, OK, dump(request));
            case "GET /metrics" -> answer(response, OK, MetricsJson.of(operations.metrics()));
            case "POST /drain" -> drain(response);
            default -> answer(response, NOT_FOUND, json().put("error", "not_found"));
        }
    }

    private JsonNode dump(Request request) {
        boolean brief = "1".equals(request.getParameter("brief"));
        return operations.dump().take(!brief);
    }

    private boolean isOperator(Request request) {
        String given = request.getHeader("Authorization");
        return given != null && MessageDigest.isEqual(expected, given.getBytes(StandardCharsets.UTF_8));
    }

    private void ready(Response response) throws IOException {
        List<String> reasons = operations.unready().get();
        if (reasons.isEmpty()) {
            answer(response, OK, json().put("ready", true));
            return;
        }
        ObjectNode json = json();
        reasons.forEach(json.putArray("reasons")::add);
        answer(response, UNAVAILABLE, json);
    }

    private void metricsText(Response response) throws IOException {
        byte[] body =
                MetricsText.of(operations.metrics(), operations.counts().get()).getBytes(StandardCharsets.UTF_8);
        response.setContentType("text/plain; version=0.0.4");
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    private void drain(Response response) throws IOException {
        operations.drain().run();
        answer(response, ACCEPTED, json().put("draining", true));
    }

    private static ObjectNode json() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static void answer(Response response, int status, JsonNode json) throws IOException {
        byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.setContentType("application/json");
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }
}
