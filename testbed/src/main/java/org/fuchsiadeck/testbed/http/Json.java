package org.fuchsiadeck.testbed.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes the stand-ins' messages: JSON with snake-case names. Unknown names are errors.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private Json() {}

    /**
     * Writes a value.
     *
     * @param value the value
     * @return its JSON text
     * @throws IllegalArgumentException if the value can't be written
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value can't be written as JSON", e);
        }
    }

    /**
     * Reads a value.
     *
     * @param <T> the type wanted
     * @param text JSON text
     * @param type the type wanted
     * @return the value
     * @throws IllegalArgumentException if the text is not of the type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("expected " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads a value from a file.
     *
     * @param <T> the type wanted
     * @param file a file of JSON text
     * @param type the type wanted
     * @return the value
     * @throws IOException if the file can't be read
     * @throws IllegalArgumentException if the text is not of the type
     */
    public static <T> T read(Path file, Class<T> type) throws IOException {
        return read(Files.readString(file), type);
    }
}
