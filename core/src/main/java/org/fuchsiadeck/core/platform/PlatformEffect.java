package org.fuchsiadeck.core.platform;

import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A call to the platform's key-value service. Each call has a tag, which comes back in its {@link PlatformEvent}.
 */
public sealed interface PlatformEffect extends Effect {
    /**
     * Returns the tag that comes back with the result.
     *
     * @return the tag; its part before the first slash names the concern
     */
    String tag();

    /**
     * Reads a key.
     *
     * @param tag the tag of the call
     * @param key the key
     */
    record Get(String tag, String key) implements PlatformEffect {
        public Get {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
        }
    }

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param tag the tag of the call
     * @param key the key
     * @param value the value, as text
     * @param expectedRevision the revision the key must have; 0 if it must not exist; empty for any
     */
    record Put(String tag, String key, String value, OptionalLong expectedRevision) implements PlatformEffect {
        public Put {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(key, "key");
            requireNonNull(value, "value");
            requireNonNull(expectedRevision, "expectedRevision");
        }
    }

    /**
     * Waits for changes under a prefix. Answers once, with the changes or at the end of the wait.
     *
     * @param tag the tag of the call
     * @param prefix the prefix of the keys
     * @param afterRevision only changes after this revision of the service
     * @param waitMs the longest wait, in milliseconds
     */
    record Watch(String tag, String prefix, long afterRevision, long waitMs) implements PlatformEffect {
        public Watch {
            Checks.notBlank(tag, "tag");
            Checks.notBlank(prefix, "prefix");
        }
    }
}
