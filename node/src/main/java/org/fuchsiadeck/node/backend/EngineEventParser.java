package org.fuchsiadeck.node.backend;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.fuchsiadeck.node.exchange.Token;

/**
 * Parses the JSON data of one server-sent event from a model engine.
 */
final class EngineEventParser {
    private static final JsonFactory JSON = new JsonFactory();

    private int index = -1;
    private String text;
    private boolean done;
    private int tokens = -1;
    private int recomputed;
    private String error;

    private EngineEventParser() {}

    /**
     * Parses an event.
     *
     * @param event the bytes of the complete event
     * @param offset the offset of the JSON data
     * @param length the length of the JSON data, in bytes
     * @return the parsed event
     * @throws BadAnswerException if the event is not JSON or not an event of the protocol
     */
    static EngineEvent parse(byte[] event, int offset, int length) throws BadAnswerException {
        EngineEventParser eventParser = new EngineEventParser();
        try (JsonParser parser = JSON.createParser(event, offset, length)) {
            eventParser.readObject(parser);
        } catch (IOException e) {
            throw new BadAnswerException("an event is not JSON");
        }
        return eventParser.toEvent(event);
    }

    private void readObject(JsonParser parser) throws IOException, BadAnswerException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new BadAnswerException("an event is not a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            readField(parser, name);
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new BadAnswerException("the JSON object of an event is truncated");
        }
    }

    private void readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "i":
                index = parser.getIntValue();
                break;
            case "t":
                text = parser.getText();
                break;
            case "done":
                done = parser.getBooleanValue();
                break;
            case "tokens":
                tokens = parser.getIntValue();
                break;
            case "recomputed_tokens":
                recomputed = parser.getIntValue();
                break;
            case "error":
                error = parser.getText();
                break;
            default:
                parser.skipChildren();
        }
    }

    private EngineEvent toEvent(byte[] event) throws BadAnswerException {
        if (error != null) {
            return new EngineEvent.ErrorEvent(error);
        }
        if (done) {
            return new EngineEvent.EndEvent(tokens, Math.max(0, recomputed), event);
        }
        if (index < 0 || text == null) {
            throw new BadAnswerException("an event has neither a token, an end nor an error");
        }
        return new EngineEvent.TokenEvent(new Token(index, text, event));
    }
}
