package org.fuchsiadeck.testbed.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.glassfish.grizzly.http.server.Request;

import static java.util.stream.Collectors.toList;

/**
 * What a caller sent.
 */
abstract class IncomingRequest {
    private final Request request;

    private final List<String> path;

    private List<String> args = List.of();

    private String body = "";

    IncomingRequest(Request request) {
        this.request = request;
        this.path = segments(request.getRequestURI());
    }

    static List<String> segments(String uri) {
        return Arrays.stream(uri.split("/"))
                .filter(s -> !s.isEmpty())
                .map(s -> URLDecoder.decode(s.replace("+", "%2B"), StandardCharsets.UTF_8))
                .collect(toList());
    }

    void args(List<String> values) {
        args = values;
    }

    void body(String text) {
        body = text;
    }

    /**
     * Gives the method.
     *
     * @return the HTTP method
     */
    public String method() {
        return request.getMethod().getMethodString();
    }

    /**
     * Gives the path.
     *
     * @return the decoded segments
     */
    public List<String> path() {
        return path;
    }

    /**
     * Gives a path segment that a {@code *} of the route matched.
     *
     * @param i which one, from 0
     * @return the decoded segment
     */
    public String arg(int i) {
        return args.get(i);
    }

    /**
     * Gives a query parameter.
     *
     * @param name its name
     * @param fallback the value if it is absent
     * @return the value
     */
    public String param(String name, String fallback) {
        String value = request.getParameter(name);
        return value == null ? fallback : value;
    }

    /**
     * Gives a numeric query parameter.
     *
     * @param name its name
     * @param fallback the value if it is absent
     * @return the value
     * @throws IllegalArgumentException if it is no number
     */
    public long param(String name, long fallback) {
        String value = request.getParameter(name);
        return value == null ? fallback : Long.parseLong(value);
    }

    /**
     * Gives a request header.
     *
     * @param name its name
     * @return the value, empty if absent
     */
    public String header(String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    /**
     * Gives the body.
     *
     * @return the text
     */
    public String body() {
        return body;
    }

    /**
     * Reads the body as JSON.
     *
     * @param <T> the type wanted
     * @param type the type wanted
     * @return the value
     * @throws IllegalArgumentException if the body is not of the type
     */
    public <T> T body(Class<T> type) {
        return Json.read(body, type);
    }
}
