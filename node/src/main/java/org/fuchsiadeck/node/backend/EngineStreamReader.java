package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;
import org.glassfish.grizzly.Buffer;

/**
 * Reads a model engine's stream and checks that its tokens follow each other.
 */
final class EngineStreamReader implements AnswerBodyReader {
    private static final int NONE = -1;

    private final int resumedAt;
    private final StreamSink sink;
    private final EventSplitter splitter = new EventSplitter(this::take);
    private int next = NONE;
    private boolean done;

    /**
     * Creates a reader.
     *
     * @param resumedAt tokens that were delivered before the attempt
     * @param sink takes what comes
     */
    EngineStreamReader(int resumedAt, StreamSink sink) {
        this.resumedAt = resumedAt;
        this.sink = sink;
    }

    @Override
    public void onBody(Buffer part) throws BadAnswerException {
        splitter.feed(part);
    }

    @Override
    public void onEnd() throws BadAnswerException {
        if (!done) {
            throw new BadAnswerException(
                    splitter.hasPartialEvent() ? "the stream ends amid an event" : "the stream was cut");
        }
    }

    private void take(byte[] event, int from, int length) throws BadAnswerException {
        if (done) {
            throw new BadAnswerException("an event came after the end");
        }
        EngineEvent read = EngineEventParser.parse(event, from, length);
        if (read instanceof EngineEvent.TokenEvent generated) {
            token(generated.token());
        } else if (read instanceof EngineEvent.EndEvent end) {
            end(end);
        } else if (read instanceof EngineEvent.ErrorEvent failed) {
            done = true;
            sink.onError().accept(failed.error());
        }
    }

    private void token(Token token) throws BadAnswerException {
        boolean first = next == NONE;
        if (first ? token.index() > resumedAt : token.index() != next) {
            throw new BadAnswerException(
                    "token " + token.index() + " came where " + (first ? resumedAt : next) + " was due");
        }
        next = token.index() + 1;
        if (token.index() >= resumedAt) {
            sink.onToken().accept(token);
        }
    }

    private void end(EngineEvent.EndEvent end) throws BadAnswerException {
        int count = Math.max(next, resumedAt);
        boolean counted = end.tokens() < 0 || end.tokens() == count || end.tokens() == count - resumedAt;
        if (!counted || next != NONE && next < resumedAt) {
            throw new BadAnswerException("the engine counts " + end.tokens() + " tokens where " + count + " came");
        }
        done = true;
        sink.onEnd().accept(new StreamSink.End(count, end.recomputed(), end.event()));
    }
}
