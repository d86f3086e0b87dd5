package org.fuchsiadeck.node.backend;

import java.util.Arrays;

import org.glassfish.grizzly.Buffer;

/**
 * Cuts a stream of bytes into server-sent events, wherever the reads happened to end.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 64 << 10;

    /** What may come between two events with data: comments that keep a connection open take a few bytes each. */
    private static final int MAX_IDLE_BYTES = 64 << 10;

    private static final int FIRST_BYTES = 256;
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};

    private final EventConsumer consumer;
    private byte[] event = new byte[FIRST_BYTES];
    private int length;
    private int lineStart;
    private int dataStart = -1;
    private int dataEnd;
    private int idleBytes;

    EventSplitter(EventConsumer consumer) {
        this.consumer = consumer;
    }

    /** Takes one event. */
    @FunctionalInterface
    interface EventConsumer {
        /**
         * Takes an event that carries data.
         *
         * @param event the whole event with the blank line after it; the consumer keeps it
         * @param from where its data begins
         * @param length the length of its data
         * @throws BadAnswerException if the event breaks the protocol
         */
        void accept(byte[] event, int from, int length) throws BadAnswerException;
    }

    /**
     * Takes bytes as they come.
     *
     * @param part the bytes
     * @throws BadAnswerException if an event breaks the protocol
     */
    void feed(Buffer part) throws BadAnswerException {
        while (part.hasRemaining()) {
            append(part.get());
        }
    }

    /**
     * Tells whether the bytes end amid an event.
     *
     * @return whether an event was begun
     */
    boolean hasPartialEvent() {
        return length > 0;
    }

    private void append(byte b) throws BadAnswerException {
        if (length == event.length) {
            grow();
        }
        event[length++] = b;
        if (b == '\n') {
            endLine();
        }
    }

    private void grow() throws BadAnswerException {
        if (length >= MAX_EVENT_BYTES) {
            throw new BadAnswerException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        event = Arrays.copyOf(event, length * 2);
    }

    private void endLine() throws BadAnswerException {
        int end = length - 1;
        if (end > lineStart && event[end - 1] == '\r') {
            end--;
        }
        if (end == lineStart) {
            endEvent();
            return;
        }
        if (startsWithData(end)) {
            noteData(end);
        }
        lineStart = length;
    }

    private boolean startsWithData(int end) {
        return end - lineStart >= DATA.length
                && Arrays.equals(event, lineStart, lineStart + DATA.length, DATA, 0, DATA.length);
    }

    private void noteData(int end) throws BadAnswerException {
        if (dataStart >= 0) {
            throw new BadAnswerException("an event has more than one line of data");
        }
        dataStart = lineStart + DATA.length;
        dataEnd = end;
    }

    private void endEvent() throws BadAnswerException {
        int from = dataStart;
        byte[] whole = from < 0 ? null : Arrays.copyOf(event, length);
        idleBytes = from < 0 ? idleBytes + length : 0;
        if (idleBytes > MAX_IDLE_BYTES) {
            throw new BadAnswerException("more than " + MAX_IDLE_BYTES + " bytes came without an event");
        }
        length = 0;
        lineStart = 0;
        dataStart = -1;
        if (whole != null) {
            consumer.accept(whole, from, dataEnd - from);
        }
    }
}
