package org.fuchsiadeck.node.backend;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.node.exchange.Header;
import org.glassfish.grizzly.http.HttpResponsePacket;

import static java.util.Objects.requireNonNull;

/**
 * Status, headers and load report from the head of an answer.
 *
 * @param status the HTTP status
 * @param match whether the answer belongs to the attempt that is waiting
 * @param answeredAttempt request and attempt that the answer names, for the log
 * @param notRun whether the server reports that it did not run the request
 * @param forwardsError whether a server error is forwarded to the caller unchanged
 * @param report the load report of the server; empty if there is none
 * @param invalidReport a pause or limit that could not be parsed, for the log
 * @param invalidLoad a load header of which a part could not be used, for the log
 * @param contentType the content type; empty if the head has none
 * @param delimited whether the end of the body is known without the connection closing
 * @param headers the header fields that are forwarded to the caller
 */
public record AnswerHead(
        int status,
        Match match,
        String answeredAttempt,
        boolean notRun,
        boolean forwardsError,
        Optional<BackendReport> report,
        Optional<String> invalidReport,
        Optional<String> invalidLoad,
        Optional<String> contentType,
        boolean delimited,
        List<Header> headers) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    public AnswerHead {
        requireNonNull(match, "match");
        requireNonNull(answeredAttempt, "answers");
        requireNonNull(report, "report");
        requireNonNull(invalidReport, "unreadable");
        requireNonNull(invalidLoad, "invalidLoad");
        requireNonNull(contentType, "contentType");
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether the end of the body is known without the connection closing.
     *
     * @param head the head of the answer
     * @return whether the body has a length, is chunked or is absent
     */
    public static boolean isDelimited(HttpResponsePacket head) {
        if (head.getStatus() == NO_CONTENT || head.getStatus() == NOT_MODIFIED) {
            return true;
        }
        boolean noBody = head.getRequest() != null && head.getRequest().isHeadRequest();
        return noBody || head.isChunked() || head.getContentLength() >= 0;
    }

    /** Whether an answer belongs to the attempt that is waiting for one. */
    public enum Match {
        /** It names the attempt's request. */
        NAMED,
        /** It is a refusal that names no request. It can be told from a repeated one only on an unused connection. */
        UNNAMED_REFUSAL,
        /** It belongs to another request, or it can't be told to which. */
        OTHER
    }

    boolean isEventStream() {
        return contentType.filter(t -> t.startsWith("text/event-stream")).isPresent();
    }
}
