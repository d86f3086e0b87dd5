package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;
import org.glassfish.grizzly.Buffer;

/**
 * Reads a stream of events with consecutive numbers, starting at 1, in their {@code id} fields. The stream ends with the
 * body. Each event counts as one token, whose index is the event number minus one.
 */
public final class NumberedStreamReader implements AnswerBodyReader {
    private static final byte[] ID = {'i', 'd', ':'};
    private static final byte[] NO_EVENT = {};
    private static final int DECIMAL = 10;

    private final int resumeIndex;
    private final StreamSink sink;
    private final EventSplitter splitter = new EventSplitter(this::readEvent);
    private int lastNumber;

    /**
     * Creates a reader.
     *
     * @param resumeIndex the number of the last event delivered by earlier attempts; 0 for none
     * @param sink receives the tokens and the end of the stream
     */
    public NumberedStreamReader(int resumeIndex, StreamSink sink) {
        this.resumeIndex = resumeIndex;
        this.sink = sink;
        this.lastNumber = resumeIndex;
    }

    @Override
    public void onBody(Buffer part) throws BadAnswerException {
        splitter.feed(part);
    }

    @Override
    public void onEnd() throws BadAnswerException {
        if (splitter.hasPartialEvent()) {
            throw new BadAnswerException("the stream ends inside an event");
        }
        if (lastNumber == 0) {
            throw new BadAnswerException("the stream has no events");
        }
        sink.onEnd().accept(new StreamSink.End(lastNumber, 0, NO_EVENT));
    }

    private void readEvent(byte[] event, int offset, int length) throws BadAnswerException {
        int number = findNumber(event);
        if (number <= resumeIndex && lastNumber == resumeIndex) {
            return;
        }
        if (number != lastNumber + 1) {
            throw new BadAnswerException("received event " + number + " but expected the event after " + lastNumber);
        }
        lastNumber = number;
        sink.onToken().accept(new Token(number - 1, "", event));
    }

    private static int findNumber(byte[] event) throws BadAnswerException {
        int line = 0;
        while (line < event.length) {
            int end = line;
            while (end < event.length && event[end] != '\n') {
                end++;
            }
            if (startsWithId(event, line, end)) {
                return parseNumber(event, line + ID.length, end);
            }
            line = end + 1;
        }
        throw new BadAnswerException("an event has no number");
    }

    private static boolean startsWithId(byte[] event, int from, int end) {
        return end - from > ID.length && event[from] == ID[0] && event[from + 1] == ID[1] && event[from + 2] == ID[2];
    }

    private static int parseNumber(byte[] event, int from, int end) throws BadAnswerException {
        long number = 0;
        boolean hasDigits = false;
        for (int i = from; i < end; i++) {
            byte b = event[i];
            if (b == ' ' && !hasDigits || b == '\r') {
                continue;
            }
            if (b < '0' || b > '9' || number > Integer.MAX_VALUE) {
                throw new BadAnswerException("the number of an event is malformed");
            }
            number = number * DECIMAL + (b - '0');
            hasDigits = true;
        }
        if (!hasDigits || number > Integer.MAX_VALUE) {
            throw new BadAnswerException("the number of an event is malformed");
        }
        return (int) number;
    }
}
