package org.fuchsiadeck.node.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What the platform's service holds under {@code config/current}, as JSON.
 *
 * @param writeId names the write, so that a lost answer can be settled by reading back
 * @param operator who accepted the configuration
 * @param reason why
 * @param atMs when, in milliseconds since 1970, by the operator's clock
 * @param text the configuration in TOML
 * @param history the changes before this one, newest first; the first is the one it replaced
 */
public record Envelope(
        @JsonProperty(value = "write_id", required = true) String writeId,
        @JsonProperty(value = "operator", required = true) String operator,
        @JsonProperty(value = "reason", required = true) String reason,
        @JsonProperty(value = "at_ms", required = true) long atMs,
        @JsonProperty(value = "text", required = true) String text,
        @JsonProperty(value = "history", required = true) List<Change> history) {
    /** How many changes the history holds. */
    public static final int HISTORY_LENGTH = 64;

    private static final ObjectMapper JSON = new ObjectMapper();

    public Envelope {
        Checks.notBlank(writeId, "write_id");
        Checks.notBlank(operator, "operator");
        requireNonNull(reason, "reason");
        requireNonNull(text, "text");
        history = history.stream().limit(HISTORY_LENGTH).toList();
    }

    /**
     * An accepted change.
     *
     * @param revision the revision the platform's service gave it
     * @param writeId names the write
     * @param operator who accepted it
     * @param reason why
     * @param atMs when, in milliseconds since 1970, by the operator's clock
     */
    public record Change(
            @JsonProperty(value = "revision", required = true)
            long revision,

            @JsonProperty(value = "write_id", required = true)
            String writeId,

            @JsonProperty(value = "operator", required = true)
            String operator,

            @JsonProperty(value = "reason", required = true) String reason,
            @JsonProperty(value = "at_ms", required = true) long atMs) {}

    /**
     * Reads an envelope.
     *
     * @param value the value of the platform's service
     * @return the envelope, or what is wrong with the value
     */
    public static Either<String, Envelope> parse(String value) {
        try {
            return Either.right(JSON.readValue(value, Envelope.class));
        } catch (JsonProcessingException e) {
            return Either.left("the value is no envelope of a configuration: " + e.getOriginalMessage());
        }
    }

    /**
     * Reads an envelope, or wraps a value that is none, so that operators can see and replace it.
     *
     * @param value the value of the platform's service
     * @return the envelope
     */
    public static Envelope parseOrWrap(String value) {
        return parse(value).getOrElseGet(e -> new Envelope("none", "unknown", e, 0, value, List.of()));
    }

    /**
     * Writes the envelope.
     *
     * @return the value for the platform's service
     */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an envelope is always writable", e);
        }
    }

    /**
     * Returns this change as an entry of the next one's history.
     *
     * @param revision the revision of this envelope
     * @return the entry
     */
    public Change asChange(long revision) {
        return new Change(revision, writeId, operator, reason, atMs);
    }

    /**
     * Returns all known changes, this one first.
     *
     * @param revision the revision of this envelope
     * @return the changes, newest first
     */
    public List<Change> changes(long revision) {
        List<Change> all = new ArrayList<>();
        all.add(asChange(revision));
        all.addAll(history);
        return all;
    }

    /**
     * Finds a write among the known changes.
     *
     * @param revision the revision of this envelope
     * @param id the id of the write
     * @return the change
     */
    public Optional<Change> find(long revision, String id) {
        return changes(revision).stream().filter(c -> c.writeId().equals(id)).findFirst();
    }
}
