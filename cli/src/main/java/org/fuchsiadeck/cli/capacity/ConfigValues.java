package org.fuchsiadeck.cli.capacity;

import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiadeck.node.config.Envelope;

/**
 * Values of the configuration's key, as they stand in the platform's service.
 */
final class ConfigValues {
    private static final long AT_MS = 1_796_000_000_000L;
    private static final String OPERATOR = "operator-12";
    private static final String REASON = "the switch of rack 7 is slow until it is replaced";
    private static final String ROUTE = """
            [[route]]
            name = "entry"
            service = "registers"
            kind = "application"
            method = "POST"
            path = "/registers/*/entries"
            idempotent = false
            deadline_ms = 5000
            max_body_bytes = 65536
            priority = 9

            """;

    private ConfigValues() {}

    /** Makes a value of about so many bytes, the last changes included when they fit. */
    static String value(int bytes) {
        int history = Math.min(Envelope.HISTORY_LENGTH, bytes / 1_024);
        String rest = envelope("", history);
        StringBuilder text = new StringBuilder(ROUTE);
        for (int team = 0; rest.length() + text.length() * 11 / 10 < bytes; team++) {
            text.append("[[team]]\nid = \"").append(Samples.team(team)).append("\"\nweight = 4\n\n");
        }
        return envelope(text.toString(), history);
    }

    private static String envelope(String text, int history) {
        List<Envelope.Change> changes = IntStream.range(0, history)
                .mapToObj(i -> new Envelope.Change(1_000_000 + i, writeId(i), OPERATOR, REASON, AT_MS))
                .toList();
        return new Envelope(writeId(history), OPERATOR, REASON, AT_MS, text, changes).toJson();
    }

    private static String writeId(int i) {
        return "7c9e6679-7425-40de-944b-%012d".formatted(i);
    }
}
