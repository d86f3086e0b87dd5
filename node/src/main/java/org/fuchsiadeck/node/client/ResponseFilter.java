package org.fuchsiadeck.node.client;

import java.io.EOFException;
import java.io.IOException;

import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Passes parsed responses to their connections.
 */
final class ResponseFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        HttpContent content = ctx.getMessage();
        HttpConnection connection = HttpConnection.find(ctx.getConnection());
        if (connection == null || HttpContent.isBroken(content)) {
            ctx.getConnection().terminateSilently();
            return ctx.getStopAction();
        }
        connection.handleContent(content);
        content.recycle();
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        HttpConnection connection = HttpConnection.find(ctx.getConnection());
        if (connection != null) {
            connection.handleClose(isReset(ctx.getConnection()));
        }
        return ctx.getInvokeAction();
    }

    private static boolean isReset(Connection<?> connection) {
        CloseReason reason = connection.getCloseReason();
        return reason != null && !(reason.getCause() instanceof EOFException);
    }
}
