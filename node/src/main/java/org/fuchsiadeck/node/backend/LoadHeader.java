package org.fuchsiadeck.node.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.model.BackendReport;

/**
 * Parses the header in which a backend server reports its load, such as {@code running=3;queued=0;age_ms=20;leaving=0}.
 */
final class LoadHeader {
    private LoadHeader() {}

    /**
     * Parses the header.
     *
     * @param text the header value
     * @return the report; empty if the value is malformed
     */
    static Optional<BackendReport> parse(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split(";")) {
            int equals = field.indexOf('=');
            if (equals < 0) {
                return Optional.empty();
            }
            fields.put(
                    field.substring(0, equals).trim(),
                    field.substring(equals + 1).trim());
        }
        try {
            return Optional.of(new BackendReport(
                    Integer.parseInt(fields.getOrDefault("running", "")),
                    Integer.parseInt(fields.getOrDefault("queued", "")),
                    Long.parseLong(fields.getOrDefault("age_ms", "0")),
                    "1".equals(fields.get("leaving"))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
