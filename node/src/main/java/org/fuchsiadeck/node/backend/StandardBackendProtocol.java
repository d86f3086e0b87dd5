package org.fuchsiadeck.node.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.node.exchange.CallerBody;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Journal;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Implements the standard HTTP protocol between entry nodes and backend servers.
 */
public final class StandardBackendProtocol implements BackendProtocol {
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();
    private static final String COMPLETIONS = "/v1/completions";
    private static final int UNAVAILABLE = 503;

    @Override
    public HttpPacket createRequest(
            Exchange exchange, RequestEffect.Dispatch dispatch, Optional<Route> route, ResumeState resumeState) {
        CallerRequest call = exchange.call();
        CallerBody body = exchange.body();
        boolean engine = dispatch.backend().kind() == Backend.Kind.ENGINE;
        byte[] bytes = resumeState.isEmpty() ? body.bytes() : withResumeState(body.bytes(), resumeState);
        HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                .method(call.method())
                .uri(engine ? COMPLETIONS : body.uri())
                .protocol(Protocol.HTTP_1_1)
                .header("Host", dispatch.backend().address().toString())
                .header(Headers.REQUEST_ID, dispatch.id().value())
                .header(Headers.ATTEMPT, String.valueOf(dispatch.attempt()))
                .header(Headers.DEADLINE_MS, String.valueOf(dispatch.remainingMs()));
        body.contentType().ifPresent(t -> head.header("Content-Type", t));
        call.idempotencyKey().ifPresent(k -> head.header(Headers.IDEMPOTENCY_KEY, k));
        route.ifPresent(
                r -> head.header(Headers.ROUTE, r.name()).header(Headers.PRIORITY, String.valueOf(r.priority())));
        if (bytes.length == 0 && call.method().equals("GET")) {
            return HttpContent.builder(head.build()).last(true).build();
        }
        return HttpContent.builder(head.contentLength(bytes.length).build())
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes))
                .last(true)
                .build();
    }

    @Override
    public AnswerHead parseHead(HttpResponsePacket head, RequestEffect.Dispatch dispatch) {
        String id = head.getHeader(Headers.REQUEST_ID);
        String attempt = head.getHeader(Headers.ATTEMPT);
        boolean awaited = dispatch.id().value().equals(id)
                && String.valueOf(dispatch.attempt()).equals(attempt);
        return new AnswerHead(
                head.getStatus(),
                awaited ? AnswerHead.Match.NAMED : AnswerHead.Match.OTHER,
                (id == null ? "no request" : id) + " attempt " + (attempt == null ? "none" : attempt),
                head.getStatus() == UNAVAILABLE && "1".equals(head.getHeader(Headers.NOT_RUN)),
                false,
                Optional.ofNullable(head.getHeader(Headers.LOAD)).flatMap(LoadHeader::parse),
                Optional.empty(),
                Optional.empty(),
                Optional.ofNullable(head.getContentType()),
                AnswerHead.isDelimited(head),
                List.of());
    }

    @Override
    public AnswerBodyReader createStreamReader(int resumeIndex, StreamSink sink) {
        return new EngineStreamReader(resumeIndex, sink);
    }

    private static byte[] withResumeState(byte[] body, ResumeState resumeState) {
        try {
            ObjectNode json = (ObjectNode) JSON.readTree(body);
            Journal journal = resumeState.journal();
            json.putObject("resume").put("text", journal.text()).put("tokens", journal.tokens());
            resumeState
                    .cache()
                    .ifPresent(cache -> json.putObject("import")
                            .put("from", cache.engine().toString())
                            .put("handle", cache.handle()));
            return JSON.writeValueAsBytes(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
