package org.fuchsiadeck.node.backend;

import java.util.Optional;

import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * What the head of an answer says.
 *
 * @param status the HTTP status
 * @param requestId the request it answers; empty if it names none
 * @param attempt the attempt it answers; empty if it names none
 * @param notRun whether the server says that it did not run the request
 * @param report what the server says of its load
 * @param contentType the content type, if one is given
 * @param delimited whether the end of the body can be told from a closed connection
 */
record AnswerHead(
        int status,
        Optional<String> requestId,
        Optional<String> attempt,
        boolean notRun,
        Optional<BackendReport> report,
        Optional<String> contentType,
        boolean delimited) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    static AnswerHead of(HttpResponsePacket head) {
        return new AnswerHead(
                head.getStatus(),
                header(head, Headers.REQUEST_ID),
                header(head, Headers.ATTEMPT),
                header(head, Headers.NOT_RUN).filter("1"::equals).isPresent(),
                header(head, Headers.LOAD).flatMap(LoadHeader::parse),
                Optional.ofNullable(head.getContentType()),
                isDelimited(head));
    }

    private static boolean isDelimited(HttpResponsePacket head) {
        if (head.getStatus() == NO_CONTENT || head.getStatus() == NOT_MODIFIED) {
            return true;
        }
        boolean noBody = head.getRequest() != null && head.getRequest().isHeadRequest();
        return noBody || head.isChunked() || head.getContentLength() >= 0;
    }

    private static Optional<String> header(HttpResponsePacket head, String name) {
        return Optional.ofNullable(head.getHeader(name));
    }

    boolean answers(RequestId id, int number) {
        return requestId.filter(id.value()::equals).isPresent()
                && attempt.filter(String.valueOf(number)::equals).isPresent();
    }

    boolean isEventStream() {
        return contentType.filter(t -> t.startsWith("text/event-stream")).isPresent();
    }
}
