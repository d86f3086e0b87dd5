package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;
import org.glassfish.grizzly.Buffer;

/**
 * Reads a stream of events that bear consecutive numbers in their {@code id} fields, from 1, and ends with its body. An
 * event passes as one token whose index is its number less one.
 */
public final class NumberedStreamReader implements AnswerBodyReader {
    private static final byte[] ID = {'i', 'd', ':'};
    private static final byte[] NOTHING = {};
    private static final int DECIMAL = 10;

    private final int resumedAt;
    private final StreamSink sink;
    private final EventSplitter splitter = new EventSplitter(this::take);
    private int last;

    /**
     * Creates a reader.
     *
     * @param resumedAt the number of the last event that was delivered before the attempt; 0 for none
     * @param sink takes what comes
     */
    public NumberedStreamReader(int resumedAt, StreamSink sink) {
        this.resumedAt = resumedAt;
        this.sink = sink;
        this.last = resumedAt;
    }

    @Override
    public void onBody(Buffer part) throws BadAnswerException {
        splitter.feed(part);
    }

    @Override
    public void onEnd() throws BadAnswerException {
        if (splitter.hasPartialEvent()) {
            throw new BadAnswerException("the stream ends amid an event");
        }
        if (last == 0) {
            throw new BadAnswerException("the stream has no events");
        }
        sink.onEnd().accept(new StreamSink.End(last, 0, NOTHING));
    }

    private void take(byte[] event, int from, int length) throws BadAnswerException {
        int number = number(event);
        if (number <= resumedAt && last == resumedAt) {
            return;
        }
        if (number != last + 1) {
            throw new BadAnswerException("event " + number + " came after " + last);
        }
        last = number;
        sink.onToken().accept(new Token(number - 1, "", event));
    }

    private static int number(byte[] event) throws BadAnswerException {
        int line = 0;
        while (line < event.length) {
            int end = line;
            while (end < event.length && event[end] != '\n') {
                end++;
            }
            if (startsWithId(event, line, end)) {
                return number(event, line + ID.length, end);
            }
            line = end + 1;
        }
        throw new BadAnswerException("an event has no number");
    }

    private static boolean startsWithId(byte[] event, int from, int end) {
        return end - from > ID.length && event[from] == ID[0] && event[from + 1] == ID[1] && event[from + 2] == ID[2];
    }

    private static int number(byte[] event, int from, int end) throws BadAnswerException {
        long number = 0;
        boolean any = false;
        for (int i = from; i < end; i++) {
            byte b = event[i];
            if (b == ' ' && !any || b == '\r') {
                continue;
            }
            if (b < '0' || b > '9' || number > Integer.MAX_VALUE) {
                throw new BadAnswerException("an event's number can't be read");
            }
            number = number * DECIMAL + (b - '0');
            any = true;
        }
        if (!any || number > Integer.MAX_VALUE) {
            throw new BadAnswerException("an event's number can't be read");
        }
        return (int) number;
    }
}
