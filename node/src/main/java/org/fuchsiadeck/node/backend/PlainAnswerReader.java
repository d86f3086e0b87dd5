package org.fuchsiadeck.node.backend;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.glassfish.grizzly.Buffer;

/**
 * Gathers a plain answer whole.
 */
final class PlainAnswerReader implements AnswerBodyReader {
    private final AnswerHead head;
    private final int maxBytes;
    private final IntPredicate room;
    private final Consumer<WholeAnswer> done;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    PlainAnswerReader(AnswerHead head, int maxBytes, IntPredicate room, Consumer<WholeAnswer> done) {
        this.head = head;
        this.maxBytes = maxBytes;
        this.room = room;
        this.done = done;
    }

    @Override
    public void onBody(Buffer part) throws BadAnswerException {
        if (bytes.size() + part.remaining() > maxBytes) {
            throw new BadAnswerException("the answer is longer than " + maxBytes + " bytes");
        }
        if (!room.test(part.remaining())) {
            return;
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.writeBytes(copy);
    }

    @Override
    public void onEnd() {
        done.accept(new WholeAnswer(head.status(), head.contentType(), head.headers(), bytes.toByteArray()));
    }
}
