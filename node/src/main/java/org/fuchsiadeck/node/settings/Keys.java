package org.fuchsiadeck.node.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * Reads keys of a settings file and remembers which were read, so that the rest can be told as unknown.
 */
final class Keys {
    private final TomlTable source;
    private final Set<String> known = new HashSet<>();

    Keys(TomlTable source) {
        this.source = source;
    }

    String text(String key) {
        return optionalText(key).orElseThrow(() -> new SettingsException(key, "is missing"));
    }

    Optional<String> optionalText(String key) {
        Object value = get(key);
        if (value == null) {
            return Optional.empty();
        }
        if (!(value instanceof String text) || text.isBlank()) {
            throw new SettingsException(key, "must be a text that is not blank");
        }
        return Optional.of((String) value);
    }

    <T> T parsed(String key, Function<String, T> parse) {
        return parse(key, text(key), parse);
    }

    <T> Optional<T> optional(String key, Function<String, T> parse) {
        return optionalText(key).map(t -> parse(key, t, parse));
    }

    long number(String key, long absent) {
        Object value = get(key);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Long number)) {
            throw new SettingsException(key, "must be a whole number");
        }
        return number;
    }

    boolean has(String key) {
        return get(key) != null;
    }

    double decimal(String key, double absent) {
        Object value = get(key);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Number number) || !(number.doubleValue() >= 0)) {
            throw new SettingsException(key, "must be a number that is not negative");
        }
        return number.doubleValue();
    }

    int smallNumber(String key, int absent) {
        long value = number(key, absent);
        if (value != (int) value) {
            throw new SettingsException(key, "is out of range: " + value);
        }
        return (int) value;
    }

    <T> List<T> list(String key, Function<String, T> parse) {
        Object value = get(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)) {
            throw new SettingsException(key, "must be a list of texts");
        }
        List<T> items = new ArrayList<>();
        for (Object item : array.toList()) {
            items.add(parse(key, String.valueOf(item), parse));
        }
        return items;
    }

    /** Fails at the first key that was not read. */
    void refuseUnknown() {
        for (String key : source.dottedKeySet()) {
            if (!known.contains(key)) {
                throw new SettingsException(key, "is not a setting");
            }
        }
    }

    private Object get(String key) {
        known.add(key);
        try {
            return source.get(key);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(key, "is missing");
        }
    }

    private static <T> T parse(String key, String text, Function<String, T> parse) {
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(key, e.getMessage());
        }
    }
}
