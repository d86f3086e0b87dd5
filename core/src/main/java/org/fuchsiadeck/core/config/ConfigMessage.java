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
     * @param version the version of its document; 0 if it names none
     * @param number the number of the query that this answers, if the sender knows how recent the revision is; otherwise 0
     * @param ageMs how long ago the revision was known to be the newest, in milliseconds
     */
    record Announce(long revision, long version, long number, long ageMs) implements ConfigMessage {
        public Announce {
            Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
            Checks.inRange(version, 0, Long.MAX_VALUE, "version");
            Checks.inRange(number, 0, Long.MAX_VALUE, "number");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
        }

        /**
         * Creates an announcement that says nothing of its document's version or its age.
         *
         * @param revision the revision; 0 for none
         */
        public Announce(long revision) {
            this(revision, 0, 0, 0);
        }
    }

    /**
     * Requests the revision in force at the receiver, which always answers with an {@link Announce}.
     *
     * @param number the number of the sender's check whether its configuration is the newest; 0 for none
     */
    record Query(long number) implements ConfigMessage {
        public Query {
            Checks.inRange(number, 0, Long.MAX_VALUE, "number");
        }

        /** Creates a query that is not part of a check. */
        public Query() {
            this(0);
        }
    }

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
