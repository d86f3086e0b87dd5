package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What entry nodes say to each other about the configuration.
 */
public sealed interface ConfigMessage extends PeerMessage {
    /**
     * Names the configuration in force at the sender. A receiver with an older one fetches it; one with a newer one
     * announces its own back.
     *
     * @param revision the revision; 0 for none
     */
    record Announce(long revision) implements ConfigMessage {
        public Announce {
            Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        }
    }

    /** Asks which configuration is in force; always answered by an {@link Announce}. */
    record Query() implements ConfigMessage {}

    /** Asks for the configuration in force; answered by an {@link Offer} if there is one. */
    record Fetch() implements ConfigMessage {}

    /**
     * Gives the configuration in force at the sender.
     *
     * @param revision the revision of the platform's service
     * @param value the value as the platform's service holds it
     */
    record Offer(long revision, String value) implements ConfigMessage {
        public Offer {
            Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
            requireNonNull(value, "value");
        }
    }
}
