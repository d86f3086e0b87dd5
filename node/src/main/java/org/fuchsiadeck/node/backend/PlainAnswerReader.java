package org.fuchsiadeck.node.backend;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.glassfish.grizzly.Buffer;

/**
 * Buffers the body of an answer that is not streamed until it is complete.
 */
final class PlainAnswerReader implements AnswerBodyReader {
    private final AnswerHead head;
    private final int maxBytes;
    private final IntPredicate reserve;
    private final Consumer<WholeAnswer> onComplete;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    PlainAnswerReader(AnswerHead head, int maxBytes, IntPredicate reserve, Consumer<WholeAnswer> onComplete) {
        this.head = head;
        this.maxBytes = maxBytes;
        this.reserve = reserve;
        this.onComplete = onComplete;
    }

    @Override
    public void onBody(Buffer part) throws BadAnswerException {
        if (bytes.size() + part.remaining() > maxBytes) {
            throw new BadAnswerException("the answer is longer than " + maxBytes + " bytes");
        }
        if (!reserve.test(part.remaining())) {
            return;
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.writeBytes(copy);
    }

    @Override
    public void onEnd() {
        onComplete.accept(new WholeAnswer(head.status(), head.contentType(), head.headers(), bytes.toByteArray()));
    }
}
