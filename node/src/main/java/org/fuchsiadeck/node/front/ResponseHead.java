package org.fuchsiadeck.node.front;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.node.exchange.Refusal;
import org.glassfish.grizzly.http.server.Response;

/**
 * The head of an answer to a caller.
 *
 * @param status the HTTP status
 * @param contentType the content type; null for none
 * @param refusal the final answer of the node's own; null if the answer is a backend server's
 * @param close whether to close the connection after the answer
 */
record ResponseHead(int status, String contentType, Refusal refusal, boolean close) {
    /**
     * Writes the head.
     *
     * @param response where to
     * @param id the request's id
     * @param length the length of the body, in bytes; negative if it is not known yet
     * @param draining whether the node stops, so that the connection is closed in any case
     */
    void write(Response response, RequestId id, int length, boolean draining) {
        response.setStatus(status);
        response.setHeader(CallerHeaders.REQUEST_ID, id.value());
        if (contentType != null) {
            response.setContentType(contentType);
        }
        if (length >= 0) {
            response.setContentLength(length);
        }
        if (close || draining) {
            response.setHeader("Connection", "close");
        }
        if (refusal != null) {
            writeOutcome(response);
        }
    }

    private void writeOutcome(Response response) {
        response.setHeader("X-Outcome", RefusalWriter.name(refusal.outcome()));
        if (refusal.retryAfterMs() > 0) {
            response.setHeader("Retry-After", RefusalWriter.retryAfter(refusal));
        }
    }
}
