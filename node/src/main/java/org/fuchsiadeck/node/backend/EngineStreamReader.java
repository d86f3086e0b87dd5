package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.node.exchange.Token;
import org.glassfish.grizzly.Buffer;

/**
 * Reads the token stream of a model engine and checks that token indexes are consecutive.
 */
final class EngineStreamReader implements AnswerBodyReader {
    private static final int NONE = -1;

    private final int resumeIndex;
    private final StreamSink sink;
    private final EventSplitter splitter = new EventSplitter(this::readEvent);
    private int nextIndex = NONE;
    private boolean done;

    /**
     * Creates a reader.
     *
     * @param resumeIndex the number of tokens delivered by earlier attempts
     * @param sink receives the tokens and the end of the stream
     */
    EngineStreamReader(int resumeIndex, StreamSink sink) {
        this.resumeIndex = resumeIndex;
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
                    splitter.hasPartialEvent()
                            ? "the stream ends inside an event"
                            : "the stream ends without an end event");
        }
    }

    private void readEvent(byte[] event, int offset, int length) throws BadAnswerException {
        if (done) {
            throw new BadAnswerException("received an event after the end event");
        }
        EngineEvent engineEvent = EngineEventParser.parse(event, offset, length);
        if (engineEvent instanceof EngineEvent.TokenEvent tokenEvent) {
            onToken(tokenEvent.token());
        } else if (engineEvent instanceof EngineEvent.EndEvent endEvent) {
            onEndEvent(endEvent);
        } else if (engineEvent instanceof EngineEvent.ErrorEvent errorEvent) {
            done = true;
            sink.onError().accept(errorEvent.error());
        }
    }

    private void onToken(Token token) throws BadAnswerException {
        boolean first = nextIndex == NONE;
        if (first ? token.index() > resumeIndex : token.index() != nextIndex) {
            throw new BadAnswerException("received token " + token.index() + " where token "
                    + (first ? resumeIndex : nextIndex) + " was expected");
        }
        nextIndex = token.index() + 1;
        if (token.index() >= resumeIndex) {
            sink.onToken().accept(token);
        }
    }

    private void onEndEvent(EngineEvent.EndEvent endEvent) throws BadAnswerException {
        int count = Math.max(nextIndex, resumeIndex);
        boolean countMatches =
                endEvent.tokens() < 0 || endEvent.tokens() == count || endEvent.tokens() == count - resumeIndex;
        if (!countMatches || nextIndex != NONE && nextIndex < resumeIndex) {
            throw new BadAnswerException(
                    "the engine reports " + endEvent.tokens() + " tokens but " + count + " were received");
        }
        done = true;
        sink.onEnd().accept(new StreamSink.End(count, endEvent.recomputed(), endEvent.event()));
    }
}
