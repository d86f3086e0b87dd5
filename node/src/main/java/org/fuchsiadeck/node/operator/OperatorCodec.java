package org.fuchsiadeck.node.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.fuchsiadeck.node.http.ErrorResponse;
import org.fuchsiadeck.node.http.MalformedMessageException;
import org.fuchsiadeck.node.http.RequestGate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Parses the requests of operators, one at a time.
 */
final class OperatorCodec extends HttpServerFilter {
    private static final byte[] MALFORMED = "{\"error\":\"bad_request\"}".getBytes(StandardCharsets.UTF_8);

    OperatorCodec(int maxHeadBytes, KeepAlive keepAlive) {
        super(
                true,
                maxHeadBytes,
                null,
                keepAlive,
                null,
                MimeHeaders.MAX_NUM_HEADERS_DEFAULT,
                MimeHeaders.MAX_NUM_HEADERS_DEFAULT);
    }

    @Override
    public NextAction handleEvent(FilterChainContext ctx, FilterChainEvent event) throws IOException {
        NextAction action = super.handleEvent(ctx, event);
        if (event.type() == RESPONSE_COMPLETE_EVENT.type()) {
            RequestGate.answered(ctx.getConnection());
        }
        return action;
    }

    static void reject(Connection<?> connection, MalformedMessageException error, boolean inBody) {
        if (inBody) {
            connection.closeSilently();
            return;
        }
        new ErrorResponse(error.kind(), MALFORMED)
                .add("Content-Type", "application/json")
                .write(connection, connection::closeSilently);
    }
}
