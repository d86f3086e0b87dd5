package org.fuchsiadeck.node.front;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.node.exchange.Header;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.glassfish.grizzly.http.server.Request;

import static java.util.Objects.requireNonNull;

/**
 * How callers' requests are read and how answers to them are written. The rest of the front is the same for all
 * protocols.
 */
public interface CallerProtocol {
    /**
     * Reads the id that the caller gave its request.
     *
     * @param request the request's head
     * @return the id; empty if the caller gave none
     * @throws BadCallException if the id can't be used
     */
    Optional<RequestId> requestId(Request request) throws BadCallException;

    /**
     * Reads and checks a request's head, before its body is read.
     *
     * @param request the request's head
     * @param config the configuration in force
     * @return what the head says
     * @throws BadCallException if the request is refused
     */
    Head head(Request request, Configuration config) throws BadCallException;

    /**
     * Completes a request with its body.
     *
     * @param head what the head says
     * @param body the body
     * @return what the decisions need to know
     * @throws BadCallException if the request is refused
     */
    Reading read(Head head, byte[] body) throws BadCallException;

    /**
     * Returns the header fields of a plain answer.
     *
     * @param answer the backend server's answer
     * @param id the request
     * @return the fields, without the length
     */
    List<Header> answerHead(WholeAnswer answer, RequestId id);

    /**
     * Returns the header fields of a stream.
     *
     * @param headers the fields that the backend server gave
     * @param id the request
     * @return the fields
     */
    List<Header> streamHead(List<Header> headers, RequestId id);

    /**
     * Writes a final answer of the node's own.
     *
     * @param refusal the answer
     * @param id the request
     * @return its header fields and its body
     */
    Message refusal(Refusal refusal, RequestId id);

    /**
     * Writes a final answer of the node's own as the last event of a stream.
     *
     * @param refusal the answer
     * @param id the request
     * @return the event; empty to close the connection instead, so that the stream does not look whole
     */
    Optional<byte[]> refusalEvent(Refusal refusal, RequestId id);

    /**
     * A message of the node's own.
     *
     * @param headers the header fields, without the length
     * @param body the body
     */
    record Message(List<Header> headers, byte[] body) {
        public Message {
            headers = List.copyOf(headers);
            requireNonNull(body, "body");
        }
    }

    /**
     * What the head of a request says.
     *
     * @param method the HTTP method
     * @param path the path, without a query
     * @param uri the path with its query, as it came
     * @param team the caller's team
     * @param idempotencyKey the caller's key
     * @param route the route; empty if there is none
     * @param contentType the content type, if one was given
     * @param headers the fields that are passed on to the backend server
     * @param completion what is asked of a model, where the head says it
     * @param streamable whether the caller can take a stream
     * @param origin how the caller came
     */
    record Head(
            String method,
            String path,
            String uri,
            TeamId team,
            Optional<String> idempotencyKey,
            Optional<Route> route,
            Optional<String> contentType,
            List<Header> headers,
            Optional<CallerRequest.Completion> completion,
            boolean streamable,
            CallerRequest.Origin origin) {
        public Head {
            requireNonNull(method, "method");
            requireNonNull(path, "path");
            requireNonNull(uri, "uri");
            requireNonNull(team, "team");
            headers = List.copyOf(headers);
            requireNonNull(origin, "origin");
        }
    }

    /**
     * A whole request.
     *
     * @param request what the decisions need to know
     * @param maxTokens most tokens, or events, that a stream may have
     */
    record Reading(CallerRequest request, int maxTokens) {
        public Reading {
            requireNonNull(request, "request");
        }
    }
}
