package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.util.Arrays;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.glassfish.grizzly.Buffer;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Reads a stream of server-sent events, wherever the reads happened to end.
 */
final class EventReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] DATA = "data:".getBytes(UTF_8);
    private static final int FIRST_BYTES = 256;

    private final Consumer<StreamEvent> events;
    private byte[] line = new byte[FIRST_BYTES];
    private int length;

    EventReader(Consumer<StreamEvent> events) {
        this.events = events;
    }

    void feed(Buffer part) {
        while (part.hasRemaining()) {
            byte b = part.get();
            if (b == '\n') {
                endLine();
            } else {
                append(b);
            }
        }
    }

    private void append(byte b) {
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * length);
        }
        line[length++] = b;
    }

    private void endLine() {
        if (length > DATA.length && Arrays.equals(line, 0, DATA.length, DATA, 0, DATA.length)) {
            events.accept(read(DATA.length, length - DATA.length));
        }
        length = 0;
    }

    private StreamEvent read(int from, int count) {
        try (JsonParser json = JSON.createParser(line, from, count)) {
            return new Fields().read(json);
        } catch (IOException e) {
            return new StreamEvent(
                    StreamEvent.Kind.UNREADABLE, -1, new String(line, from, count, UTF_8), "", StreamEvent.Usage.NONE);
        }
    }

    /** The fields of one event as they come. */
    private static final class Fields {
        private int index = -1;
        private String text = "";
        private boolean done;
        private boolean error;
        private String outcome = "";
        private int prompt;
        private int recomputed;

        StreamEvent read(JsonParser json) throws IOException {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                take(name, json);
            }
            return new StreamEvent(kind(), index, text, outcome, new StreamEvent.Usage(prompt, recomputed));
        }

        private void take(String name, JsonParser json) throws IOException {
            switch (name) {
                case "i":
                    index = json.getIntValue();
                    break;
                case "t":
                    text = json.getText();
                    break;
                case "done":
                    done = json.getBooleanValue();
                    break;
                case "prompt_tokens":
                    prompt = json.getIntValue();
                    break;
                case "recomputed_tokens":
                    recomputed = json.getIntValue();
                    break;
                case "outcome":
                    outcome = json.getText();
                    break;
                case "error":
                    error = true;
                    text = json.getText();
                    break;
                default:
                    json.skipChildren();
            }
        }

        private StreamEvent.Kind kind() {
            if (error) {
                return StreamEvent.Kind.ERROR;
            }
            if (done) {
                return StreamEvent.Kind.DONE;
            }
            return index < 0 ? StreamEvent.Kind.UNREADABLE : StreamEvent.Kind.TOKEN;
        }
    }
}
