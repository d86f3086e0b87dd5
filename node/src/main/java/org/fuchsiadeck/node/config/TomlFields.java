package org.fuchsiadeck.node.config;

import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the keys of a TOML table, and gathers what is wrong with them together with their positions.
 */
final class TomlFields {
    private final TomlTable table;
    private final TomlPosition position;
    private final List<ConfigError> errors;
    private final Set<String> read = new HashSet<>();

    TomlFields(TomlTable table, TomlPosition position, List<ConfigError> errors) {
        this.table = table;
        this.position = position;
        this.errors = errors;
    }

    Set<String> keys() {
        return table.keySet();
    }

    boolean has(String key) {
        return table.keySet().contains(key);
    }

    /** Returns a text that must be there and not be blank; empty text after an error. */
    String text(String key) {
        String value = required(key, String.class, "a text").orElse("");
        if (value.isBlank() && table.isString(List.of(key))) {
            fail(key, key + " must not be blank");
        }
        return value;
    }

    /** Returns a whole number that must be there; the least one allowed after an error. */
    long number(String key, long min, long max) {
        Optional<Long> value = required(key, Long.class, "a whole number");
        if (value.isPresent() && (value.get() < min || value.get() > max)) {
            fail(key, key + " must be from " + min + " to " + max + ", was " + value.get());
        }
        return value.filter(v -> v >= min && v <= max).orElse(min);
    }

    /** Returns a boolean that must be there; false after an error. */
    boolean flag(String key) {
        return required(key, Boolean.class, "true or false").orElse(false);
    }

    /** Returns a time that may be absent, in milliseconds since 1970. */
    OptionalLong time(String key) {
        Optional<OffsetDateTime> value =
                optional(key, OffsetDateTime.class, "a date and time with offset, such as 2027-01-31T00:00:00Z");
        return value.map(t -> OptionalLong.of(t.toInstant().toEpochMilli())).orElse(OptionalLong.empty());
    }

    /** Returns a table that must be there; empty after an error. */
    Optional<TomlFields> table(String key) {
        return required(key, TomlTable.class, "a table").map(t -> new TomlFields(t, at(key), errors));
    }

    /** Returns a table that may be absent. */
    Optional<TomlFields> optionalTable(String key) {
        return optional(key, TomlTable.class, "a table").map(t -> new TomlFields(t, at(key), errors));
    }

    /** Returns the tables of an array that may be absent. */
    List<TomlFields> tables(String key) {
        List<TomlFields> out = new ArrayList<>();
        optional(key, TomlArray.class, "an array of tables").ifPresent(array -> {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable t) {
                    out.add(new TomlFields(t, array.inputPositionOf(i), errors));
                } else {
                    fail(key, key + " must be an array of tables, written [[" + key + "]]");
                }
            }
        });
        return out;
    }

    /** Reports the keys that were not asked for. */
    void rejectOthers() {
        for (String key : table.keySet()) {
            if (!read.contains(key)) {
                fail(
                        key,
                        "unknown key " + key + "; known are "
                                + read.stream().sorted().toList());
            }
        }
    }

    /** Reports an error at a key, or at the table if the key is not there. */
    void fail(String key, String message) {
        TomlPosition p = at(key);
        errors.add(new ConfigError(p.line(), p.column(), message));
    }

    /** Builds a value, and reports the message of an {@link IllegalArgumentException} at the table. */
    <T> Optional<T> build(Supplier<T> build) {
        try {
            return Optional.of(build.get());
        } catch (IllegalArgumentException e) {
            errors.add(new ConfigError(position.line(), position.column(), e.getMessage()));
            return Optional.empty();
        }
    }

    private <T> Optional<T> required(String key, Class<T> type, String expected) {
        if (!has(key)) {
            read.add(key);
            fail(key, key + " is missing");
            return Optional.empty();
        }
        return optional(key, type, expected);
    }

    private <T> Optional<T> optional(String key, Class<T> type, String expected) {
        read.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (!type.isInstance(value)) {
            fail(key, key + " must be " + expected);
            return Optional.empty();
        }
        return Optional.of(type.cast(value));
    }

    private TomlPosition at(String key) {
        TomlPosition p = has(key) ? table.inputPositionOf(List.of(key)) : null;
        return p == null ? position : p;
    }
}
