package org.fuchsiadeck.testbed.http;

import java.util.ArrayList;
import java.util.List;

/**
 * A table from method and path to what answers it. A path segment {@code *} matches any one segment, which the action
 * finds as an argument of the exchange.
 */
public final class Routes {
    private static final String ANY = "*";

    private final List<Route> routes = new ArrayList<>();

    private Action fallback = x -> x.json(404, new Problem("no such path"));

    /**
     * Adds a path.
     *
     * @param method the HTTP method
     * @param pattern the path, such as {@code /v1/kv/*}
     * @param action what answers it
     * @return this table
     */
    public Routes on(String method, String pattern, Action action) {
        routes.add(new Route(method, Exchange.segments(pattern), action));
        return this;
    }

    /**
     * Sets what answers a request that no path matches; 404 by default.
     *
     * @param action what answers it
     * @return this table
     */
    public Routes otherwise(Action action) {
        fallback = action;
        return this;
    }

    void run(Exchange x) {
        try {
            find(x).run(x);
        } catch (IllegalArgumentException e) {
            x.json(400, new Problem(e.getMessage()));
        } catch (Exception e) {
            x.json(500, new Problem(e.toString()));
        }
    }

    private Action find(Exchange x) {
        for (Route route : routes) {
            List<String> args = route.match(x);
            if (args != null) {
                x.args(args);
                return route.action;
            }
        }
        return fallback;
    }

    /** What answers a request. */
    @FunctionalInterface
    public interface Action {
        /**
         * Answers a request, now or later.
         *
         * @param x the request and the way to answer it
         * @throws Exception if the request can't be answered; gives status 500, or 400 for an illegal argument
         */
        void run(Exchange x) throws Exception;
    }

    /**
     * The body of an answer that says what is wrong.
     *
     * @param error what is wrong
     */
    public record Problem(String error) {}

    private record Route(String method, List<String> pattern, Action action) {
        List<String> match(Exchange x) {
            List<String> path = x.path();
            if (!method.equals(x.method()) || path.size() != pattern.size()) {
                return null;
            }
            List<String> args = new ArrayList<>();
            for (int i = 0; i < path.size(); i++) {
                if (pattern.get(i).equals(ANY)) {
                    args.add(path.get(i));
                } else if (!pattern.get(i).equals(path.get(i))) {
                    return null;
                }
            }
            return args;
        }
    }
}
