package org.fuchsiadeck.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Writes JSON as aligned columns: an array of objects as one row each, an object as one row for each field.
 */
final class JsonTable {
    private static final String GAP = "  ";

    private JsonTable() {}

    static String format(JsonNode json) {
        List<List<String>> rows = json.isArray() ? array(json) : object(json);
        List<Integer> widths = widths(rows);
        StringBuilder out = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i))
                        .append(" ".repeat(widths.get(i) - row.get(i).length()))
                        .append(GAP);
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
        return out.toString();
    }

    private static List<List<String>> array(JsonNode json) {
        Set<String> columns = new LinkedHashSet<>();
        json.forEach(e -> e.fieldNames().forEachRemaining(columns::add));
        List<List<String>> rows = new ArrayList<>();
        if (!columns.isEmpty()) {
            rows.add(columns.stream().map(c -> c.replace('_', ' ')).toList());
        }
        json.forEach(e -> rows.add(
                columns.isEmpty()
                        ? List.of(cell(e))
                        : columns.stream().map(c -> cell(e.path(c))).toList()));
        return rows;
    }

    private static List<List<String>> object(JsonNode json) {
        List<List<String>> rows = new ArrayList<>();
        json.properties().forEach(f -> rows.add(List.of(f.getKey(), cell(f.getValue()))));
        return rows;
    }

    private static List<Integer> widths(List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                int width = row.get(i).length();
                if (i == widths.size()) {
                    widths.add(width);
                }
                widths.set(i, Math.max(widths.get(i), width));
            }
        }
        return widths;
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        String text = value.isTextual() ? value.asText() : value.toString();
        return text.isEmpty() ? "-" : text.replace('\n', ' ');
    }
}
