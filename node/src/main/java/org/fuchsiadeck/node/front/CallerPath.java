package org.fuchsiadeck.node.front;

import java.util.regex.Pattern;

/**
 * Checks the path of a request. A path that a backend server may read as another one could match the wrong route.
 */
final class CallerPath {
    private static final int BAD_REQUEST = 400;
    private static final Pattern DOT_SEGMENT = Pattern.compile("/(\\.|%2e){1,2}(/|$)", Pattern.CASE_INSENSITIVE);
    private static final Pattern HIDDEN_SLASH = Pattern.compile("%2f|%5c|\\\\", Pattern.CASE_INSENSITIVE);

    private CallerPath() {}

    /**
     * Checks a path.
     *
     * @param path the path, without a query
     * @throws BadCallException if it has dot segments or encoded slashes, or does not begin with a slash
     */
    static void check(String path) throws BadCallException {
        boolean plain = path.startsWith("/")
                && !DOT_SEGMENT.matcher(path).find()
                && !HIDDEN_SLASH.matcher(path).find();
        if (!plain) {
            throw new BadCallException(BAD_REQUEST, "bad_path", "The path must be plain.");
        }
    }
}
