package org.fuchsiadeck.node.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.node.exchange.Header;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.server.Request;

/**
 * The project's own protocol towards callers, as {@code docs/HTTP.md} describes it.
 */
public final class StandardCallerProtocol implements CallerProtocol {
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNSUPPORTED_MEDIA_TYPE = 415;
    private static final String CONTENT_TYPE = "Content-Type";

    @Override
    public Optional<RequestId> requestId(Request request) throws BadCallException {
        return CallerHeaders.requestId(request);
    }

    @Override
    public Head head(Request request, Configuration config) throws BadCallException {
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        CallerPath.check(path);
        Optional<Route> route = config.findRoute(method, path);
        checkMethod(config, route, path);
        checkContentType(route, request);
        String query = request.getQueryString();
        return new Head(
                method,
                path,
                query == null ? path : path + "?" + query,
                CallerHeaders.team(request),
                CallerHeaders.idempotencyKey(request),
                route,
                Optional.ofNullable(request.getContentType()),
                List.of(),
                Optional.empty(),
                request.getProtocol() == Protocol.HTTP_1_1,
                CallerRequest.Origin.NONE);
    }

    @Override
    public Reading read(Head head, byte[] body) throws BadCallException {
        boolean engine =
                head.route().filter(r -> r.kind() == Backend.Kind.ENGINE).isPresent();
        if (!engine) {
            return new Reading(request(head, body, false, Optional.empty()), Integer.MAX_VALUE);
        }
        CompletionReader read = CompletionReader.read(body);
        if (read.stream() && !head.streamable()) {
            throw new BadCallException(BAD_REQUEST, "bad_request", "A stream needs HTTP/1.1.");
        }
        return new Reading(request(head, body, read.stream(), Optional.of(read.completion())), read.tokenLimit());
    }

    @Override
    public List<Header> answerHead(WholeAnswer answer, RequestId id) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(CallerHeaders.REQUEST_ID, id.value()));
        answer.contentType().ifPresent(t -> headers.add(new Header(CONTENT_TYPE, t)));
        return headers;
    }

    @Override
    public List<Header> streamHead(List<Header> headers, RequestId id) {
        return List.of(new Header(CallerHeaders.REQUEST_ID, id.value()), new Header(CONTENT_TYPE, "text/event-stream"));
    }

    @Override
    public Message refusal(Refusal refusal, RequestId id) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(CallerHeaders.REQUEST_ID, id.value()));
        headers.add(new Header(CONTENT_TYPE, "application/json"));
        headers.add(new Header("X-Outcome", RefusalWriter.name(refusal.outcome())));
        if (refusal.retryAfterMs() > 0) {
            headers.add(new Header("Retry-After", RefusalWriter.retryAfter(refusal)));
        }
        return new Message(headers, RefusalWriter.json(refusal, id.value()));
    }

    @Override
    public Optional<byte[]> refusalEvent(Refusal refusal, RequestId id) {
        return Optional.of(RefusalWriter.event(refusal, id.value()));
    }

    private static CallerRequest request(
            Head head, byte[] body, boolean stream, Optional<CallerRequest.Completion> completion) {
        return new CallerRequest(
                head.method(), head.path(), head.team(), head.idempotencyKey(), body.length, stream, completion);
    }

    private static void checkMethod(Configuration config, Optional<Route> route, String path) throws BadCallException {
        boolean otherMethod = route.isEmpty() && config.routes().stream().anyMatch(r -> r.matches(r.method(), path));
        if (otherMethod) {
            throw BadCallException.byConfiguration(
                    METHOD_NOT_ALLOWED, "method_not_allowed", "The path does not take this method.");
        }
    }

    private static void checkContentType(Optional<Route> route, Request request) throws BadCallException {
        boolean engine = route.filter(r -> r.kind() == Backend.Kind.ENGINE).isPresent();
        String type = request.getContentType();
        if (engine && type != null && !type.startsWith("application/json")) {
            throw new BadCallException(
                    UNSUPPORTED_MEDIA_TYPE, "unsupported_media_type", "The body must be application/json.");
        }
    }
}
