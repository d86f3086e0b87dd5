package org.fuchsiadeck.node.backend;

import java.util.Arrays;

import org.glassfish.grizzly.Buffer;

/**
 * Splits a byte stream into server-sent events, independent of where individual reads end.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 64 << 10;

    /** Limit on the bytes between two events with data. Comments that keep a connection open take a few bytes each. */
    private static final int MAX_IDLE_BYTES = 64 << 10;

    private static final int INITIAL_BYTES = 256;
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};

    private final EventConsumer consumer;
    private byte[] event = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;
    private int dataStart = -1;
    private int dataEnd;
    private int idleBytes;

    EventSplitter(EventConsumer consumer) {
        this.consumer = consumer;
    }

    /** Receives the events. */
    @FunctionalInterface
    interface EventConsumer {
        /**
         * Receives an event with data.
         *
         * @param event the bytes of the event including the blank line after it; the array is not reused
         * @param offset the offset of the data
         * @param length the length of the data, in bytes
         * @throws BadAnswerException if the event violates the protocol
         */
        void accept(byte[] event, int offset, int length) throws BadAnswerException;
    }

    /**
     * Appends received bytes and passes each completed event to the consumer.
     *
     * @param part the bytes
     * @throws BadAnswerException if an event violates the protocol
     */
    void feed(Buffer part) throws BadAnswerException {
        while (part.hasRemaining()) {
            append(part.get());
        }
    }

    /**
     * Returns whether the bytes received so far end inside an event.
     *
     * @return whether an incomplete event is buffered
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
            setData(end);
        }
        lineStart = length;
    }

    private boolean startsWithData(int end) {
        return end - lineStart >= DATA.length
                && Arrays.equals(event, lineStart, lineStart + DATA.length, DATA, 0, DATA.length);
    }

    private void setData(int end) throws BadAnswerException {
        if (dataStart >= 0) {
            throw new BadAnswerException("an event has more than one line of data");
        }
        dataStart = lineStart + DATA.length;
        dataEnd = end;
    }

    private void endEvent() throws BadAnswerException {
        int offset = dataStart;
        byte[] completed = offset < 0 ? null : Arrays.copyOf(event, length);
        idleBytes = offset < 0 ? idleBytes + length : 0;
        if (idleBytes > MAX_IDLE_BYTES) {
            throw new BadAnswerException("more than " + MAX_IDLE_BYTES + " bytes received without an event");
        }
        length = 0;
        lineStart = 0;
        dataStart = -1;
        if (completed != null) {
            consumer.accept(completed, offset, dataEnd - offset);
        }
    }
}
