package org.fuchsiadeck.node.log;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.fuchsiadeck.core.Effect;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Writes log lines as JSON, one object a line: numbered events with their named values, other lines with their message.
 */
final class EventFormatter extends ExtFormatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Enough frames to find the place, few enough for one line. */
    private static final int FRAMES = 8;

    private final String node;

    EventFormatter(String node) {
        this.node = node;
    }

    @Override
    public String format(ExtLogRecord record) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("at", record.getInstant().toString());
            json.writeStringField("level", record.getLevel().getName());
            json.writeStringField("node", node);
            Object[] parameters = record.getParameters();
            if (parameters != null && parameters.length > 0 && parameters[0] instanceof EventLog.Line event) {
                write(json, event);
            } else {
                json.writeStringField("logger", record.getLoggerName());
                json.writeStringField("message", record.getFormattedMessage());
            }
            if (record.getThrown() != null) {
                json.writeStringField("thrown", thrown(record.getThrown()));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return line.append('\n').toString();
    }

    private static void write(JsonGenerator json, EventLog.Line event) throws IOException {
        Effect.Log log = event.log();
        json.writeNumberField("event", log.code().number());
        json.writeStringField("name", log.code().name());
        for (Map.Entry<String, Object> field : log.fields().entrySet()) {
            if (field.getValue() instanceof Number number) {
                json.writeNumberField(field.getKey(), number.longValue());
            } else if (field.getValue() instanceof Boolean flag) {
                json.writeBooleanField(field.getKey(), flag);
            } else {
                json.writeStringField(field.getKey(), String.valueOf(field.getValue()));
            }
        }
        if (!log.detail().isEmpty()) {
            json.writeStringField("detail", log.detail());
        }
        if (event.leftOut() > 0) {
            json.writeNumberField("left_out", event.leftOut());
        }
    }

    /** The error and its causes with the places where they arose, on one line. */
    private static String thrown(Throwable error) {
        StringBuilder text = new StringBuilder();
        for (Throwable e = error; e != null; e = e.getCause()) {
            text.append(text.isEmpty() ? "" : "; caused by ").append(e);
            StackTraceElement[] trace = e.getStackTrace();
            for (int i = 0; i < Math.min(FRAMES, trace.length); i++) {
                text.append(" at ").append(trace[i]);
            }
        }
        return text.toString();
    }
}
