package org.fuchsiadeck.node.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * Splits the bytes of a connection into messages. The only place that decides where a message ends: what it returns is
 * rewritten so that any other reader finds the same end.
 *
 * <p>The grammar is that of RFC 9112 for senders. A request has exactly one {@code Host}; a body has one
 * {@code Content-Length}, or the one transfer coding {@code chunked}, or neither. Everything else is malformed.
 */
public final class MessageReader {
    private static final int LINE_END_BYTES = 2;
    private static final int MAX_PART_BYTES = 16 << 10;

    /** Empty lines before a request line; RFC 9112, 2.2 asks a server to ignore at least one. */
    private static final int MAX_EMPTY_LINES = 4;

    private final ByteQueue queue = new ByteQueue();
    private final LineScanner lines = new LineScanner(queue);
    private final int maxHeadBytes;
    private final int maxEmptyLines;
    private final HeadParser parser;
    private int emptyLines;
    private BodyFraming framing;
    private long remainingBytes;
    private ChunkedBody chunks;
    private byte[] heldHead;

    private MessageReader(int maxHeadBytes, int maxEmptyLines, HeadParser parser) {
        this.maxHeadBytes = maxHeadBytes;
        this.maxEmptyLines = maxEmptyLines;
        this.parser = parser;
    }

    /** Parses the lines of a head. */
    @FunctionalInterface
    private interface HeadParser {
        FramedHead parse(byte[] lines) throws MalformedMessageException;
    }

    private record FramedHead(MessageHead head, BodyFraming framing) {}

    /** Tells of which request the next response is. */
    @FunctionalInterface
    public interface RequestMethod {
        /**
         * Returns whether the response answers a {@code HEAD}, so that it has no body.
         *
         * @return whether the request was a {@code HEAD}
         */
        boolean isHead();
    }

    /**
     * Creates a reader of requests.
     *
     * @param maxHeadBytes the maximum length of a head or trailer, in bytes
     * @return the reader
     */
    public static MessageReader ofRequests(int maxHeadBytes) {
        return new MessageReader(maxHeadBytes, MAX_EMPTY_LINES, lines -> {
            MessageHead head = MessageHead.parseRequest(lines);
            return new FramedHead(head, BodyFraming.ofRequest(head));
        });
    }

    /**
     * Creates a reader of responses.
     *
     * @param maxHeadBytes the maximum length of a head or trailer, in bytes
     * @param method the method of the request in progress
     * @return the reader
     */
    public static MessageReader ofResponses(int maxHeadBytes, RequestMethod method) {
        requireNonNull(method, "method");
        return new MessageReader(maxHeadBytes, 0, lines -> {
            MessageHead head = MessageHead.parseResponse(lines);
            return new FramedHead(head, BodyFraming.ofResponse(head, method.isHead()));
        });
    }

    /**
     * Adds received bytes.
     *
     * @param received the bytes, which are copied
     */
    public void append(ByteBuffer received) {
        queue.append(received);
    }

    /**
     * Returns how many received bytes have not been returned.
     *
     * @return the number of bytes
     */
    public int bufferedBytes() {
        return queue.size();
    }

    /**
     * Returns whether a head has been returned and the end of its message has not.
     *
     * @return whether the next bytes belong to a body
     */
    public boolean isInBody() {
        return framing != null && heldHead == null;
    }

    /**
     * Returns the next part of a message.
     *
     * @return the part; empty if more bytes are needed
     * @throws MalformedMessageException if the bytes are not a message; the reader must not be used afterwards
     */
    public Optional<MessagePart> next() throws MalformedMessageException {
        Optional<MessagePart> part = framing == null ? readHead() : nextOfBody();
        if (part.isPresent() && part.get().last()) {
            framing = null;
            chunks = null;
        }
        return part;
    }

    private Optional<MessagePart> readHead() throws MalformedMessageException {
        skipEmptyLines();
        int length = lines.findEmptyLine(maxHeadBytes);
        if (length == LineScanner.INCOMPLETE) {
            return Optional.empty();
        }
        emptyLines = 0;
        FramedHead framed = parser.parse(queue.take(length));
        framing = framed.framing();
        remainingBytes = framing.length();
        byte[] head = framed.head().encode(framing);
        return switch (framing.kind()) {
            case NONE -> Optional.of(new MessagePart(head, true));
            case LENGTH -> Optional.of(withBody(head));
            case CHUNKED -> {
                chunks = new ChunkedBody(queue, lines, maxHeadBytes);
                heldHead = head;
                yield nextChunk();
            }
            case UNTIL_CLOSE -> Optional.of(new MessagePart(head, false));
        };
    }

    /** Returns the next chunk, the first one together with the head: a codec does nothing with the head alone. */
    private Optional<MessagePart> nextChunk() throws MalformedMessageException {
        Optional<MessagePart> chunk = chunks.next();
        if (chunk.isEmpty() || heldHead == null) {
            return chunk;
        }
        byte[] head = heldHead;
        heldHead = null;
        return Optional.of(
                new MessagePart(join(head, chunk.get().bytes()), chunk.get().last()));
    }

    private static byte[] join(byte[] head, byte[] body) {
        byte[] joined = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, joined, head.length, body.length);
        return joined;
    }

    private void skipEmptyLines() throws MalformedMessageException {
        while (emptyLines < maxEmptyLines
                && queue.size() >= LINE_END_BYTES
                && queue.at(0) == '\r'
                && queue.at(1) == '\n') {
            queue.skip(LINE_END_BYTES);
            lines.restart();
            emptyLines++;
        }
    }

    private MessagePart withBody(byte[] head) {
        byte[] bytes = join(head, takeOfLength());
        return new MessagePart(bytes, remainingBytes == 0);
    }

    private byte[] takeOfLength() {
        int count = (int) Math.min(Math.min(remainingBytes, queue.size()), MAX_PART_BYTES);
        remainingBytes -= count;
        return queue.take(count);
    }

    private Optional<MessagePart> nextOfBody() throws MalformedMessageException {
        if (framing.kind() == BodyFraming.Kind.CHUNKED) {
            return nextChunk();
        }
        if (queue.size() == 0) {
            return Optional.empty();
        }
        if (framing.kind() == BodyFraming.Kind.UNTIL_CLOSE) {
            return Optional.of(new MessagePart(queue.take(queue.size()), false));
        }
        byte[] bytes = takeOfLength();
        return Optional.of(new MessagePart(bytes, remainingBytes == 0));
    }
}
