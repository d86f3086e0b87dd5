package org.fuchsiadeck.node.http;

import java.util.List;
import java.util.Locale;

import static java.util.Objects.requireNonNull;

/**
 * Tells how the end of a body is found.
 *
 * @param kind what ends the body
 * @param length the length of the body in bytes, if that ends it; otherwise 0
 */
record BodyFraming(Kind kind, long length) {
    static final String CONTENT_LENGTH = "content-length";
    static final String TRANSFER_ENCODING = "transfer-encoding";

    private static final BodyFraming NONE = new BodyFraming(Kind.NONE, 0);
    private static final BodyFraming CHUNKED = new BodyFraming(Kind.CHUNKED, 0);
    private static final BodyFraming UNTIL_CLOSE = new BodyFraming(Kind.UNTIL_CLOSE, 0);

    /** More digits than a body can be long; fewer than overflow. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int RESET_CONTENT = 205;
    private static final int NOT_MODIFIED = 304;

    BodyFraming {
        requireNonNull(kind, "kind");
    }

    /** What ends a body. */
    enum Kind {
        NONE,
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    /**
     * Determines how the body of a request ends.
     *
     * @throws MalformedMessageException unless there is exactly one reading
     */
    static BodyFraming ofRequest(MessageHead head) throws MalformedMessageException {
        return stated(head, NONE);
    }

    /**
     * Determines how the body of a response ends.
     *
     * @param answersHead whether the request was a {@code HEAD}
     * @throws MalformedMessageException unless there is exactly one reading
     */
    static BodyFraming ofResponse(MessageHead head, boolean answersHead) throws MalformedMessageException {
        BodyFraming stated = stated(head, UNTIL_CLOSE);
        int status = head.status();
        boolean empty =
                status < OK || status == NO_CONTENT || status == RESET_CONTENT || status == NOT_MODIFIED || answersHead;
        return empty ? NONE : stated;
    }

    private static BodyFraming stated(MessageHead head, BodyFraming unstated) throws MalformedMessageException {
        List<String> lengths = head.values(CONTENT_LENGTH);
        List<String> codings = head.values(TRANSFER_ENCODING);
        if (lengths.size() + codings.size() > 1) {
            throw MalformedMessageException.syntax("expected one Content-Length or Transfer-Encoding, got "
                    + lengths.size() + " and " + codings.size());
        }
        if (!codings.isEmpty()) {
            return ofCoding(head, codings.get(0));
        }
        return lengths.isEmpty() ? unstated : ofLength(lengths.get(0));
    }

    private static BodyFraming ofCoding(MessageHead head, String coding) throws MalformedMessageException {
        if (!head.isHttp11()) {
            throw MalformedMessageException.syntax("Transfer-Encoding is not allowed in HTTP/1.0");
        }
        if (!coding.toLowerCase(Locale.ROOT).equals("chunked")) {
            throw MalformedMessageException.syntax(
                    "expected the transfer coding chunked, got " + Grammar.quote(coding));
        }
        return CHUNKED;
    }

    private static BodyFraming ofLength(String text) throws MalformedMessageException {
        boolean digits = !text.isEmpty()
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits) {
            throw MalformedMessageException.syntax("expected a length of 1 to 18 digits, got " + Grammar.quote(text));
        }
        return new BodyFraming(Kind.LENGTH, Long.parseLong(text));
    }
}
