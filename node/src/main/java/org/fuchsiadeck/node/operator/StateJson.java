package org.fuchsiadeck.node.operator;

import java.lang.reflect.RecordComponent;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.Tuple2;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Address;

/**
 * Turns a state of records and collections into JSON. Works on any such state; what is too deep or too long is cut and
 * says so, and components whose names speak of a secret are left out.
 */
public final class StateJson {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int MAX_DEPTH = 16;
    private static final int MAX_ITEMS = 2_000;
    private static final int MAX_TEXT = 4_000;
    private static final String HIDDEN = "(hidden)";

    private StateJson() {}

    /**
     * Turns a value into JSON.
     *
     * @param value the value
     * @return the JSON
     */
    public static JsonNode of(Object value) {
        return of(value, 0);
    }

    private static JsonNode of(Object value, int depth) {
        if (value == null) {
            return JSON.nullNode();
        }
        if (depth > MAX_DEPTH) {
            return JSON.textNode("(too deep)");
        }
        JsonNode scalar = scalar(value);
        if (scalar != null) {
            return scalar;
        }
        JsonNode optional = optional(value, depth);
        return optional != null ? optional : compound(value, depth);
    }

    private static JsonNode scalar(Object value) {
        if (value instanceof JsonNode json) {
            return json;
        }
        if (value instanceof Integer || value instanceof Long || value instanceof Short || value instanceof Byte) {
            return JSON.numberNode(((Number) value).longValue());
        }
        if (value instanceof Number number) {
            return JSON.numberNode(number.doubleValue());
        }
        if (value instanceof Boolean flag) {
            return JSON.booleanNode(flag);
        }
        boolean isText = value instanceof CharSequence || value instanceof Enum || value instanceof Address;
        return isText ? text(value) : null;
    }

    private static JsonNode optional(Object value, int depth) {
        if (value instanceof Optional<?> some) {
            return of(some.orElse(null), depth);
        }
        if (value instanceof Option<?> some) {
            return of(some.getOrNull(), depth);
        }
        if (value instanceof OptionalLong some) {
            return some.isPresent() ? JSON.numberNode(some.getAsLong()) : JSON.nullNode();
        }
        if (value instanceof OptionalInt some) {
            return some.isPresent() ? JSON.numberNode(some.getAsInt()) : JSON.nullNode();
        }
        if (value instanceof OptionalDouble some) {
            return some.isPresent() ? JSON.numberNode(some.getAsDouble()) : JSON.nullNode();
        }
        return null;
    }

    private static JsonNode compound(Object value, int depth) {
        if (value instanceof Map<?, ?> map) {
            ObjectNode json = JSON.objectNode();
            map.entrySet().stream().limit(MAX_ITEMS).forEach(e -> put(json, e.getKey(), e.getValue(), depth));
            return json;
        }
        if (value instanceof io.vavr.collection.Map<?, ?> map) {
            ObjectNode json = JSON.objectNode();
            for (Tuple2<?, ?> entry : map.take(MAX_ITEMS)) {
                put(json, entry._1(), entry._2(), depth);
            }
            return json;
        }
        if (value instanceof Iterable<?> items) {
            return array(items, depth);
        }
        return value instanceof Record fields ? fields(fields, depth) : text(value);
    }

    private static JsonNode array(Iterable<?> items, int depth) {
        ArrayNode json = JSON.arrayNode();
        for (Object item : items) {
            if (json.size() == MAX_ITEMS) {
                return json.add("(cut)");
            }
            json.add(of(item, depth + 1));
        }
        return json;
    }

    private static JsonNode fields(Record value, int depth) {
        RecordComponent[] components = value.getClass().getRecordComponents();
        if (components.length == 1 && components[0].getName().equals("value")) {
            return of(read(components[0], value), depth);
        }
        ObjectNode json = JSON.objectNode();
        for (RecordComponent component : components) {
            put(json, component.getName(), read(component, value), depth);
        }
        return json;
    }

    /**
     * Reads a component of a record of any type.
     *
     * @param value the record
     * @param name the component's name
     * @return its value; null if the record has no such component
     */
    static Object component(Object value, String name) {
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            if (component.getName().equals(name)) {
                return read(component, (Record) value);
            }
        }
        return null;
    }

    private static Object read(RecordComponent component, Record value) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException | RuntimeException e) {
            return "(unreadable)";
        }
    }

    private static void put(ObjectNode json, Object key, Object value, int depth) {
        String name = String.valueOf(key);
        boolean secret =
                name.endsWith("oken") || name.toLowerCase(java.util.Locale.ROOT).contains("secret");
        json.set(name, secret && value instanceof String ? JSON.textNode(HIDDEN) : of(value, depth + 1));
    }

    private static JsonNode text(Object value) {
        String text = value.toString();
        return JSON.textNode(text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT) + "(cut)");
    }
}
