package org.fuchsiadeck.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.vavr.control.Try;

/**
 * The form of a command's results.
 */
public final class OutputOptions {
    private static final ObjectWriter PRETTY = new ObjectMapper().writerWithDefaultPrettyPrinter();

    @Parameter(names = "--output", description = "form of the results: table or json")
    private Format format = Format.TABLE;

    /** The forms. */
    public enum Format {
        /** Aligned columns, for people. */
        TABLE,
        /** JSON, for programs. */
        JSON
    }

    /**
     * Writes a result.
     *
     * @param console where to
     * @param result an array of objects, or an object
     */
    public void write(Console console, JsonNode result) {
        console.out().print(json() ? pretty(result) + "\n" : JsonTable.format(result));
    }

    /**
     * Tells whether results are written as JSON.
     *
     * @return whether they are
     */
    public boolean json() {
        return format == Format.JSON;
    }

    private static String pretty(JsonNode result) {
        return Try.of(() -> PRETTY.writeValueAsString(result)).get();
    }
}
