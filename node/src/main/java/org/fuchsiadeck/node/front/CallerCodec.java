package org.fuchsiadeck.node.front;

import java.io.IOException;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.node.exchange.Refusal;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Parses HTTP, and refuses what it can't parse in the form of the node's other refusals.
 */
final class CallerCodec extends HttpServerFilter {
    private static final int TOO_LARGE = 431;
    private static final long MAX_SKIPPED_BYTES = 1 << 20;

    private final CallerProtocol protocol;
    private final RequestIds ids;
    private final RefusalLog refusals;

    CallerCodec(int maxHeadBytes, KeepAlive keepAlive, CallerProtocol protocol, RequestIds ids, RefusalLog refusals) {
        super(
                true,
                maxHeadBytes,
                null,
                keepAlive,
                null,
                MimeHeaders.MAX_NUM_HEADERS_DEFAULT,
                MimeHeaders.MAX_NUM_HEADERS_DEFAULT);
        this.protocol = protocol;
        this.ids = ids;
        this.refusals = refusals;
        setMaxPayloadRemainderToSkip(MAX_SKIPPED_BYTES);
    }

    @Override
    protected void onHttpHeaderError(HttpHeader header, FilterChainContext ctx, Throwable error) throws IOException {
        boolean large = String.valueOf(error.getMessage()).contains("too large")
                || error instanceof MimeHeaders.MaxHeaderCountExceededException;
        if (large) {
            HttpResponsePacket response = ((HttpRequestPacket) header).getResponse();
            HttpStatus.newHttpStatus(TOO_LARGE, "Request Header Fields Too Large")
                    .setValues(response);
        }
        super.onHttpHeaderError(header, ctx, error);
    }

    /** The next request is passed on only once the codec has nothing left to do for this one and its answer is written. */
    @Override
    public NextAction handleEvent(FilterChainContext ctx, FilterChainEvent event) throws IOException {
        NextAction action = super.handleEvent(ctx, event);
        if (event.type() == RESPONSE_COMPLETE_EVENT.type()) {
            CallerConnection connection = CallerConnection.of(ctx.getConnection());
            ctx.flush(new EmptyCompletionHandler<>() {
                @Override
                public void completed(Object result) {
                    connection.answered();
                }

                @Override
                public void failed(Throwable error) {
                    connection.answered();
                }
            });
        }
        return action;
    }

    @Override
    protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
        RequestId id = ids.next();
        boolean large = response.getStatus() == TOO_LARGE;
        if (!large) {
            HttpStatus.BAD_REQUEST_400.setValues(response);
        }
        Refusal refusal = Refusal.notRun(
                response.getStatus(),
                large ? "headers_too_large" : "bad_request",
                large ? "The headers are too large." : "The request is not valid HTTP.");
        refusals.note(refusal);
        CallerProtocol.Message message = protocol.refusal(refusal, id);
        byte[] body = message.body();
        message.headers().forEach(h -> response.setHeader(h.name(), h.value()));
        response.setContentLength(body.length);
        response.setHeader("Connection", "close");
        return HttpContent.builder(response)
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body))
                .last(true)
                .build();
    }
}
