package org.fuchsiadeck.node.client;

import java.util.Optional;

import org.fuchsiadeck.node.http.MalformedMessageException;
import org.fuchsiadeck.node.http.MessagePart;
import org.fuchsiadeck.node.http.MessageReader;
import org.fuchsiadeck.node.http.PartSink;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Filter between a client's connections and its HTTP codec. Passes the response to the request in progress; other bytes
 * close the connection. Passes nothing while the connection is paused.
 */
final class ResponseGate extends BaseFilter {
    private final int maxHeadBytes;

    ResponseGate(int maxHeadBytes) {
        this.maxHeadBytes = maxHeadBytes;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        HttpConnection connection = HttpConnection.find(ctx.getConnection());
        if (connection == null) {
            ctx.getConnection().terminateSilently();
            return ctx.getStopAction();
        }
        Feed feed = connection.feed(() -> new Feed(connection, maxHeadBytes, new PartSink(ctx)));
        Buffer received = ctx.getMessage();
        feed.receive(received);
        received.tryDispose();
        return ctx.getStopAction();
    }

    /** Responses of one connection. Used on its selector thread only. */
    static final class Feed {
        private final HttpConnection connection;
        private final PartSink sink;
        private final MessageReader reader;

        Feed(HttpConnection connection, int maxHeadBytes, PartSink sink) {
            this.connection = connection;
            this.sink = sink;
            this.reader = MessageReader.ofResponses(maxHeadBytes, connection::isHeadInProgress);
        }

        private void receive(Buffer received) {
            reader.append(received.toByteBuffer());
            passOn();
        }

        /** Passes on what has been received, until the connection is paused. */
        void passOn() {
            try {
                boolean passed = true;
                while (passed && sink.isOpen() && !connection.isPaused()) {
                    passed = passNext();
                }
            } catch (MalformedMessageException e) {
                connection.handleParseError("malformed response: " + e.getMessage());
            }
            if (sink.isOpen()) {
                sink.setReading(!connection.isPaused());
            }
        }

        private boolean passNext() throws MalformedMessageException {
            if (!reader.isInBody() && reader.bufferedBytes() > 0 && !connection.isAwaitingResponse()) {
                connection.handleUnexpectedData();
                return false;
            }
            Optional<MessagePart> part = reader.next();
            part.ifPresent(sink::pass);
            return part.isPresent();
        }
    }
}
