package org.fuchsiadeck.node.client;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;

/**
 * Parses HTTP, and reports what it can't parse.
 */
final class ResponseCodec extends HttpClientFilter {
    ResponseCodec(int maxHeadBytes) {
        super(maxHeadBytes);
    }

    @Override
    protected void onHttpHeaderError(HttpHeader header, FilterChainContext ctx, Throwable error) {
        report(ctx, "the head can't be read: " + error);
    }

    @Override
    protected void onHttpContentError(HttpHeader header, FilterChainContext ctx, Throwable error) {
        header.setContentBroken(true);
        report(ctx, "the body can't be read: " + error);
    }

    private static void report(FilterChainContext ctx, String detail) {
        HttpConnection connection = HttpConnection.find(ctx.getConnection());
        if (connection != null) {
            connection.handleParseError(detail);
        }
    }
}
