package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Messages by which entry nodes exchange the configuration.
 */
public sealed interface ConfigMessage extends PeerMessage {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * Announces the revision in force at the sender. A receiver with an older one fetches the configuration; a receiver
     * with a newer one announces its own back.
     *
     * @param revision the revision; 0 for none
     */
    record Announce(long revision) implements ConfigMessage {
        public Announce {
            Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        }
    }

    /** Requests the revision in force at the receiver, which always answers with an {@link Announce}. */
    record Query() implements ConfigMessage {}

    /** Requests the configuration in force at the receiver, which answers with an {@link Offer} if it has one. */
    record Fetch() implements ConfigMessage {}

    /**
     * Carries the configuration in force at the sender.
     *
     * @param revision the revision of the value in the key-value service
     * @param value the value as the key-value service holds it
     */
    record Offer(long revision, String value) implements ConfigMessage {
        public Offer {
            Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
            requireNonNull(value, "value");
        }
    }
}
