package org.fuchsiadeck.node.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a body in chunks and writes it in chunks without extensions and trailer.
 */
final class ChunkedBody {
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int MAX_PART_BYTES = 16 << 10;
    private static final int MAX_SIZE_LINE_BYTES = 1 << 10;
    private static final int HEXADECIMAL = 16;

    /** A size of at most 15 digits, which a long holds, and extensions, which have no meaning here. */
    private static final Pattern SIZE_LINE = Pattern.compile("([0-9a-fA-F]{1,15})([ \\t]*;.*)?");

    private final ByteQueue queue;
    private final LineScanner lines;
    private final int maxTrailerBytes;
    private State state = State.SIZE;
    private long remainingBytes;

    ChunkedBody(ByteQueue queue, LineScanner lines, int maxTrailerBytes) {
        this.queue = queue;
        this.lines = lines;
        this.maxTrailerBytes = maxTrailerBytes;
    }

    /** What is read next. */
    private enum State {
        SIZE,
        DATA,
        DATA_END,
        TRAILER,
        ENDED
    }

    /** Returns the next part of the body, empty if more bytes are needed for one. */
    Optional<MessagePart> next() throws MalformedMessageException {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        while (data.size() < MAX_PART_BYTES && step(data)) {
            if (state == State.ENDED && data.size() == 0) {
                return Optional.of(new MessagePart(LAST_CHUNK, true));
            }
        }
        return data.size() == 0 ? Optional.empty() : Optional.of(new MessagePart(encode(data), false));
    }

    /** Reads the next element. Returns false if that needs more bytes or the body has ended. */
    private boolean step(ByteArrayOutputStream data) throws MalformedMessageException {
        return switch (state) {
            case SIZE -> readSize();
            case DATA -> readData(data);
            case DATA_END -> readDataEnd();
            case TRAILER -> readTrailer(data);
            case ENDED -> false;
        };
    }

    private boolean readSize() throws MalformedMessageException {
        int length = lines.findLine(MAX_SIZE_LINE_BYTES);
        if (length == LineScanner.INCOMPLETE) {
            return false;
        }
        String line = new String(queue.take(length), StandardCharsets.ISO_8859_1);
        queue.skip(LINE_END.length);
        Matcher size = SIZE_LINE.matcher(line);
        if (!size.matches()) {
            throw MalformedMessageException.syntax("expected the size of a chunk, got " + Grammar.quote(line));
        }
        remainingBytes = Long.parseLong(size.group(1), HEXADECIMAL);
        state = remainingBytes == 0 ? State.TRAILER : State.DATA;
        return true;
    }

    private boolean readData(ByteArrayOutputStream data) {
        int count = (int) Math.min(Math.min(remainingBytes, queue.size()), MAX_PART_BYTES - (long) data.size());
        data.writeBytes(queue.take(count));
        remainingBytes -= count;
        state = remainingBytes == 0 ? State.DATA_END : State.DATA;
        return count > 0;
    }

    private boolean readDataEnd() throws MalformedMessageException {
        if (queue.size() < LINE_END.length) {
            return false;
        }
        if (queue.at(0) != LINE_END[0] || queue.at(1) != LINE_END[1]) {
            throw MalformedMessageException.syntax("expected CR LF after a chunk, got byte 0x"
                    + Integer.toHexString(queue.at(0)) + " and byte 0x" + Integer.toHexString(queue.at(1)));
        }
        queue.skip(LINE_END.length);
        state = State.SIZE;
        return true;
    }

    private boolean readTrailer(ByteArrayOutputStream data) throws MalformedMessageException {
        if (data.size() > 0) {
            return false;
        }
        int length = lines.findEmptyLine(maxTrailerBytes);
        if (length == LineScanner.INCOMPLETE) {
            return false;
        }
        MessageHead.parseFields(new String(queue.take(length), StandardCharsets.ISO_8859_1), 0);
        state = State.ENDED;
        return true;
    }

    private static byte[] encode(ByteArrayOutputStream data) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(data.size() + HEXADECIMAL);
        chunk.writeBytes(Integer.toHexString(data.size()).getBytes(StandardCharsets.ISO_8859_1));
        chunk.writeBytes(LINE_END);
        chunk.writeBytes(data.toByteArray());
        chunk.writeBytes(LINE_END);
        return chunk.toByteArray();
    }
}
