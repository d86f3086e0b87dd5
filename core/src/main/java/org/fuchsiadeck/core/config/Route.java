package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Maps requests with a given method and path to the service that answers them, with deadline, limits and priority.
 *
 * @param name the name of the route
 * @param service the service that answers
 * @param kind the kind of backend server that the service runs on
 * @param method the HTTP method
 * @param path the path, in which a segment {@code *} stands for any one non-empty segment; a prefix
 *     of paths if {@link RouteOptions#prefix} is set
 * @param idempotent whether a request may run more than once
 * @param deadlineMs the longest time from a request to the end of its answer, in milliseconds
 * @param maxBodyBytes the largest request body, in bytes
 * @param priority the priority under overload; requests of a higher priority are dispatched first
 * @param terms the optional settings of the route
 */
public record Route(
        String name,
        String service,
        Backend.Kind kind,
        String method,
        String path,
        boolean idempotent,
        long deadlineMs,
        long maxBodyBytes,
        int priority,
        RouteOptions terms) {
    /** The longest deadline, in milliseconds. */
    public static final long MAX_DEADLINE_MS = 3_600_000;

    /** The largest request body, in bytes. */
    public static final long MAX_BODY_BYTES = 64L << 20;

    /** The highest priority. */
    public static final int MAX_PRIORITY = 9;

    public Route {
        Checks.notBlank(name, "name");
        Checks.notBlank(service, "service");
        requireNonNull(kind, "kind");
        Checks.notBlank(method, "method");
        Checks.notBlank(path, "path");
        Checks.inRange(deadlineMs, 1, MAX_DEADLINE_MS, "deadline_ms");
        Checks.inRange(maxBodyBytes, 0, MAX_BODY_BYTES, "max_body_bytes");
        Checks.inRange(priority, 0, MAX_PRIORITY, "priority");
        requireNonNull(terms, "terms");
    }

    /**
     * Returns this route for one request, with a single service chosen at random by weight.
     *
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return the route with the chosen service; this one if it is not divided among services
     */
    public Route withChosenService(double draw) {
        if (terms.shares().isEmpty()) {
            return this;
        }
        RouteOptions.Share share = terms.chooseShare(draw);
        return new Route(
                name,
                share.service(),
                share.kind(),
                method,
                path,
                idempotent,
                deadlineMs,
                maxBodyBytes,
                priority,
                terms);
    }

    /**
     * Returns whether a request belongs to this route, by host, method and path.
     *
     * @param requestHost the host that the caller names; empty if it names none
     * @param requestMethod the request's method
     * @param requestPath the request's path, without a query
     * @return whether the request matches
     */
    public boolean matches(String requestHost, String requestMethod, String requestPath) {
        if (!terms.host().isEmpty() && !terms.host().equals(requestHost)) {
            return false;
        }
        return terms.prefix() ? requestPath.startsWith(path) : matches(requestMethod, requestPath);
    }

    /**
     * Returns whether the method and the path of a request match those of this route exactly, apart from wildcards.
     *
     * @param requestMethod the request's method
     * @param requestPath the request's path, without a query
     * @return whether the request matches
     */
    public boolean matches(String requestMethod, String requestPath) {
        if (!method.equals(requestMethod)) {
            return false;
        }
        String[] expected = path.split("/", -1);
        String[] actual = requestPath.split("/", -1);
        if (expected.length != actual.length) {
            return false;
        }
        for (int i = 0; i < expected.length; i++) {
            boolean wildcard = expected[i].equals("*") && !actual[i].isEmpty();
            if (!wildcard && !expected[i].equals(actual[i])) {
                return false;
            }
        }
        return true;
    }
}
