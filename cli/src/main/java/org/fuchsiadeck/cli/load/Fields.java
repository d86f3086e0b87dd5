package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the keys of a TOML table. Every fault is an {@link IllegalArgumentException} that names its place.
 */
final class Fields {
    private final TomlTable table;
    private final Set<String> known = new HashSet<>();

    Fields(TomlTable table) {
        this.table = table;
    }

    String text(String key) {
        return required(key, get(key, String.class, null));
    }

    String text(String key, String absent) {
        return get(key, String.class, absent);
    }

    <T> T parsed(String key, Function<String, T> parse) {
        String text = text(key);
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw fault(key, "is unknown: " + text);
        }
    }

    int number(String key) {
        return Math.toIntExact(required(key, get(key, Long.class, null)));
    }

    int number(String key, int absent) {
        return Math.toIntExact(get(key, Long.class, (long) absent));
    }

    boolean flag(String key, boolean absent) {
        return get(key, Boolean.class, absent);
    }

    <T> List<T> list(String key, Class<T> type, List<T> absent) {
        TomlArray array = get(key, TomlArray.class, null);
        if (array == null) {
            return absent;
        }
        List<T> items = new ArrayList<>();
        for (Object item : array.toList()) {
            if (!type.isInstance(item)) {
                throw fault(key, "holds " + item + ", which is no " + type.getSimpleName());
            }
            items.add(type.cast(item));
        }
        return items;
    }

    /** Reads an array of tables, and refuses keys in them that were not read. */
    <T> List<T> tables(String key, Function<Fields, T> read) {
        List<T> out = new ArrayList<>();
        for (TomlTable item : list(key, TomlTable.class, List.of())) {
            Fields fields = new Fields(item);
            out.add(fields.whole(read));
        }
        return out;
    }

    <T> T whole(Function<Fields, T> read) {
        T out = read.apply(this);
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw fault(key, "is not known");
            }
        }
        return out;
    }

    private <T> T get(String key, Class<T> type, T absent) {
        known.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return absent;
        }
        if (!type.isInstance(value)) {
            throw fault(key, "must be a " + type.getSimpleName());
        }
        return type.cast(value);
    }

    private <T> T required(String key, T value) {
        if (value == null) {
            throw fault(key, "is missing");
        }
        return value;
    }

    private IllegalArgumentException fault(String key, String what) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        String place = at == null ? "" : at.line() + ":" + at.column() + ": ";
        return new IllegalArgumentException(place + key + " " + what);
    }
}
