package org.fuchsiadeck.node.http;

import java.util.Optional;

import org.fuchsiadeck.node.run.SelectorTasks;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

import static java.util.Objects.requireNonNull;

/**
 * Filter between a server's connections and its HTTP codec. Passes one request at a time: the next one waits, as bytes,
 * until {@link #answered}. Must run on the connection's selector thread.
 */
public final class RequestGate extends BaseFilter {
    private static final Attribute<Feed> FEED =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(RequestGate.class.getName());

    /** Bytes that are kept of requests sent ahead and of a body that is not wanted yet; then reading stops. */
    private static final int MAX_BUFFERED_BYTES = 32 << 10;

    private final int maxHeadBytes;
    private final Rejection rejection;

    /**
     * Creates a gate.
     *
     * @param maxHeadBytes the maximum length of a head, in bytes
     * @param rejection answers what is not a request
     */
    public RequestGate(int maxHeadBytes, Rejection rejection) {
        this.maxHeadBytes = maxHeadBytes;
        this.rejection = requireNonNull(rejection, "rejection");
    }

    /** Answers a malformed request. */
    @FunctionalInterface
    public interface Rejection {
        /**
         * Answers and closes the connection. Nothing more is passed on from it.
         *
         * @param connection the connection
         * @param error what is wrong
         * @param inBody whether the head of the request has been passed on
         */
        void reject(Connection<?> connection, MalformedMessageException error, boolean inBody);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Feed feed = FEED.get(ctx.getConnection());
        if (feed == null) {
            feed = new Feed(MessageReader.ofRequests(maxHeadBytes), new PartSink(ctx), rejection);
            FEED.set(ctx.getConnection(), feed);
        }
        Buffer received = ctx.getMessage();
        feed.receive(received);
        received.tryDispose();
        return ctx.getStopAction();
    }

    /**
     * Passes on the next part of the body of the request in progress, now or once it is received. Without this call
     * only the part is passed on that came with the head.
     *
     * @param connection the connection
     */
    public static void readBody(Connection<?> connection) {
        SelectorTasks.runAfterReads(
                connection, () -> Optional.ofNullable(FEED.get(connection)).ifPresent(Feed::demandBody));
    }

    /**
     * Notes that the request in progress has been answered, and passes on the next one.
     *
     * @param connection the connection
     */
    public static void answered(Connection<?> connection) {
        SelectorTasks.runAfterReads(
                connection, () -> Optional.ofNullable(FEED.get(connection)).ifPresent(Feed::answered));
    }

    /**
     * Returns whether bytes of a request have been received that are not passed on yet.
     *
     * @param connection the connection
     * @return whether bytes wait
     */
    public static boolean holdsBytes(Connection<?> connection) {
        Feed feed = FEED.get(connection);
        return feed != null && feed.reader.bufferedBytes() > 0;
    }

    /** Requests of one connection. */
    private static final class Feed {
        private final MessageReader reader;
        private final PartSink sink;
        private final Rejection rejection;
        private boolean passedWhole;
        private boolean answered;
        private boolean bodyWanted;
        private boolean rejected;

        Feed(MessageReader reader, PartSink sink, Rejection rejection) {
            this.reader = reader;
            this.sink = sink;
            this.rejection = rejection;
        }

        void receive(Buffer received) {
            if (!rejected) {
                reader.append(received.toByteBuffer());
                passOn();
            }
        }

        void demandBody() {
            bodyWanted = true;
            passOn();
        }

        void answered() {
            if (reader.isInBody() || passedWhole) {
                answered = true;
                passOn();
            }
        }

        private void passOn() {
            boolean incomplete = false;
            while (!incomplete && !rejected && sink.isOpen() && mayPassOn()) {
                Optional<MessagePart> part = next();
                incomplete = part.isEmpty();
                part.ifPresent(this::pass);
            }
            if (sink.isOpen()) {
                boolean room = reader.bufferedBytes() < MAX_BUFFERED_BYTES;
                sink.setReading(rejected || incomplete || room);
            }
        }

        private void pass(MessagePart part) {
            bodyWanted = false;
            passedWhole = part.last();
            sink.pass(part);
        }

        private boolean mayPassOn() {
            if (passedWhole && answered) {
                passedWhole = false;
                answered = false;
            }
            if (reader.isInBody()) {
                return bodyWanted || answered;
            }
            return !passedWhole;
        }

        private Optional<MessagePart> next() {
            boolean inBody = reader.isInBody();
            try {
                return reader.next();
            } catch (MalformedMessageException e) {
                rejected = true;
                rejection.reject(sink.connection(), e, inBody);
                return Optional.empty();
            }
        }
    }
}
