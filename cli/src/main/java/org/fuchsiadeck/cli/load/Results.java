package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Writes and reads results as JSON.
 */
final class Results {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Results() {}

    static void write(Path file, Object result) {
        try {
            Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static JsonNode read(Path file) {
        try {
            return JSON.readTree(file.toFile());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Summary summary(JsonNode json) {
        return JSON.convertValue(json, Summary.class);
    }

    static RelaySummary relay(JsonNode json) {
        return JSON.convertValue(json, RelaySummary.class);
    }
}
