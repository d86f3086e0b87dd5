package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * How requests of one kind are served.
 *
 * @param name the route's name
 * @param service the service that answers
 * @param kind what the service speaks
 * @param method the HTTP method
 * @param path the path; a segment {@code *} stands for any one segment
 * @param idempotent whether a request may run more than once
 * @param deadlineMs the time a request may take in all, in milliseconds
 * @param maxBodyBytes the largest request body, in bytes
 * @param priority which requests go first when there is too much work; the greater goes first
 * @param terms what the route has beyond this
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
     * Returns the route as it is for one request, with the service that the request falls to.
     *
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return the route with one service
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
     * Tells whether a request is of this route.
     *
     * @param requestHost the host the caller names; empty if it names none
     * @param requestMethod the request's method
     * @param requestPath the request's path, without a query
     * @return whether the route serves it
     */
    public boolean matches(String requestHost, String requestMethod, String requestPath) {
        if (!terms.host().isEmpty() && !terms.host().equals(requestHost)) {
            return false;
        }
        return terms.prefix() ? requestPath.startsWith(path) : matches(requestMethod, requestPath);
    }

    /**
     * Tells whether a request is of this route.
     *
     * @param requestMethod the request's method
     * @param requestPath the request's path, without a query
     * @return whether the route serves it
     */
    public boolean matches(String requestMethod, String requestPath) {
        if (!method.equals(requestMethod)) {
            return false;
        }
        String[] want = path.split("/", -1);
        String[] have = requestPath.split("/", -1);
        if (want.length != have.length) {
            return false;
        }
        for (int i = 0; i < want.length; i++) {
            boolean wild = want[i].equals("*") && !have[i].isEmpty();
            if (!wild && !want[i].equals(have[i])) {
                return false;
            }
        }
        return true;
    }
}
