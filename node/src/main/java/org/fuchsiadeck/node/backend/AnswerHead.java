package org.fuchsiadeck.node.backend;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.node.exchange.Header;
import org.glassfish.grizzly.http.HttpResponsePacket;

import static java.util.Objects.requireNonNull;

/**
 * What the head of an answer says.
 *
 * @param status the HTTP status
 * @param matchesAttempt whether it answers the attempt that waits for an answer
 * @param answeredAttempt what it says it answers, for the log
 * @param notRun whether the server says that it did not run the request
 * @param forwardsError whether a server error reaches the caller as the server gave it
 * @param report what the server says of itself
 * @param invalidReport what the server says of itself that can't be read, for the log
 * @param contentType the content type, if one is given
 * @param delimited whether the end of the body can be told
 * @param headers the header fields that are passed on to the caller
 */
public record AnswerHead(
        int status,
        boolean matchesAttempt,
        String answeredAttempt,
        boolean notRun,
        boolean forwardsError,
        Optional<BackendReport> report,
        Optional<String> invalidReport,
        Optional<String> contentType,
        boolean delimited,
        List<Header> headers) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    public AnswerHead {
        requireNonNull(answeredAttempt, "answers");
        requireNonNull(report, "report");
        requireNonNull(invalidReport, "unreadable");
        requireNonNull(contentType, "contentType");
        headers = List.copyOf(headers);
    }

    /**
     * Tells whether the end of a body can be told without the close of its connection.
     *
     * @param head the head of the answer
     * @return whether the body has a length, is in chunks, or is none
     */
    public static boolean isDelimited(HttpResponsePacket head) {
        if (head.getStatus() == NO_CONTENT || head.getStatus() == NOT_MODIFIED) {
            return true;
        }
        boolean noBody = head.getRequest() != null && head.getRequest().isHeadRequest();
        return noBody || head.isChunked() || head.getContentLength() >= 0;
    }

    boolean isEventStream() {
        return contentType.filter(t -> t.startsWith("text/event-stream")).isPresent();
    }
}
