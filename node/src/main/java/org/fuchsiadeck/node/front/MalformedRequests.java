package org.fuchsiadeck.node.front;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.http.ErrorResponse;
import org.fuchsiadeck.node.http.MalformedMessageException;
import org.fuchsiadeck.node.http.RequestGate;
import org.glassfish.grizzly.Connection;

/**
 * Refuses malformed requests in the form of the node's other refusals.
 *
 * @param protocol how refusals are written
 * @param ids makes the ids of requests whose own is unknown
 * @param refusals counts and logs refusals
 */
record MalformedRequests(CallerProtocol protocol, RequestIds ids, RefusalLog refusals)
        implements RequestGate.Rejection {
    @Override
    public void reject(Connection<?> connection, MalformedMessageException error, boolean inBody) {
        Refusal refusal = refusal(error);
        CallerConnection caller = CallerConnection.of(connection);
        if (inBody && caller.refuseUnfinished(refusal)) {
            return;
        }
        refusals.note(refusal);
        RequestId id = ids.next();
        CallerProtocol.Message message = protocol.refusal(refusal, id);
        ErrorResponse response = new ErrorResponse(error.kind(), message.body());
        message.headers().forEach(h -> response.add(h.name(), h.value()));
        response.write(connection, caller::closeOutput);
    }

    private static Refusal refusal(MalformedMessageException error) {
        boolean large = error.kind() == MalformedMessageException.Kind.TOO_LARGE;
        return Refusal.notRun(
                ErrorResponse.status(error.kind()),
                large ? "headers_too_large" : "bad_request",
                (large ? "The headers are too large: " : "The request is not valid HTTP: ") + error.getMessage() + ".");
    }
}
