package org.fuchsiadeck.node.client;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;

/**
 * Parses HTTP responses and reports malformed ones to their connections.
 */
final class ResponseCodec extends HttpClientFilter {
    ResponseCodec(int maxHeadBytes) {
        super(maxHeadBytes);
    }

    @Override
    protected void onHttpHeaderError(HttpHeader header, FilterChainContext ctx, Throwable error) {
        report(ctx, "malformed response head: " + error);
    }

    @Override
    protected void onHttpContentError(HttpHeader header, FilterChainContext ctx, Throwable error) {
        header.setContentBroken(true);
        report(ctx, "malformed response body: " + error);
    }

    private static void report(FilterChainContext ctx, String detail) {
        HttpConnection connection = HttpConnection.find(ctx.getConnection());
        if (connection != null) {
            connection.handleParseError(detail);
        }
    }
}
