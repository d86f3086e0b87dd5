package org.fuchsiadeck.node.front;

import java.util.List;

import org.fuchsiadeck.node.exchange.Header;
import org.glassfish.grizzly.http.server.Response;

/**
 * The head of an answer to a caller.
 *
 * @param status the HTTP status
 * @param headers the header fields, without the length
 * @param close whether to close the connection after the answer
 */
record ResponseHead(int status, List<Header> headers, boolean close) {
    ResponseHead {
        headers = List.copyOf(headers);
    }

    /**
     * Writes the head.
     *
     * @param response where to
     * @param length the length of the body, in bytes; negative if it is not known yet
     * @param draining whether the node stops, so that the connection is closed in any case
     */
    void write(Response response, int length, boolean draining) {
        response.setStatus(status);
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase("Content-Type")) {
                response.setContentType(header.value());
            } else {
                response.addHeader(header.name(), header.value());
            }
        }
        if (length >= 0) {
            response.setContentLength(length);
        }
        if (close || draining) {
            response.setHeader("Connection", "close");
        }
    }
}
