package org.fuchsiadeck.node.front;

import java.util.Optional;
import java.util.regex.Pattern;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the headers that callers may send.
 */
final class CallerHeaders {
    static final String REQUEST_ID = "X-Request-Id";
    private static final String TEAM = "X-Team";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String DEFAULT_TEAM = "default";
    private static final int BAD_REQUEST = 400;
    private static final Pattern REQUEST_ID_FORM = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern KEY_FORM = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern TEAM_FORM = Pattern.compile("[\\x21-\\x7e]{1,64}");

    private CallerHeaders() {}

    static Optional<RequestId> requestId(Request request) throws BadCallException {
        return header(request, REQUEST_ID, REQUEST_ID_FORM).map(RequestId::new);
    }

    static TeamId team(Request request) throws BadCallException {
        return new TeamId(header(request, TEAM, TEAM_FORM).orElse(DEFAULT_TEAM));
    }

    static Optional<String> idempotencyKey(Request request) throws BadCallException {
        return header(request, IDEMPOTENCY_KEY, KEY_FORM);
    }

    private static Optional<String> header(Request request, String name, Pattern form) throws BadCallException {
        int count = 0;
        String last = null;
        for (String value : request.getHeaders(name)) {
            last = value;
            count++;
        }
        if (last == null) {
            return Optional.empty();
        }
        if (count > 1 || !form.matcher(last).matches()) {
            throw new BadCallException(BAD_REQUEST, "bad_header", name + " must be one value of the form " + form);
        }
        return Optional.of(last);
    }
}
