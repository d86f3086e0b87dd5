package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Events for the reducer of a node's configuration.
 */
public sealed interface ConfigEvent extends Event {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /** Periodic event that starts calls and messages that are due and detects time-outs. */
    record Tick() implements ConfigEvent {}

    /**
     * A request is to be refused because of the configuration in force, which was not known to be the newest.
     *
     * @param arrivedMs when the request arrived, in monotonic milliseconds
     */
    record ProofWanted(long arrivedMs) implements ConfigEvent {}

    /**
     * A check whether the configuration is the newest has waited for some time.
     *
     * @param number the number of the check
     */
    record CheckDue(long number) implements ConfigEvent {}

    /**
     * A value was parsed as a configuration.
     *
     * @param configuration the configuration, with the revision of the value
     * @param value the value as the key-value service holds it
     * @param source where the value came from: {@code platform}, or the id of a peer
     */
    record Parsed(Configuration configuration, String value, String source) implements ConfigEvent {
        public Parsed {
            requireNonNull(configuration, "configuration");
            requireNonNull(value, "value");
            Checks.notBlank(source, "source");
        }
    }

    /**
     * A value could not be parsed as a configuration.
     *
     * @param revision the revision of the value
     * @param detail the error, with line and column
     * @param source where the value came from: {@code platform}, or the id of a peer
     */
    record Rejected(long revision, String detail, String source) implements ConfigEvent {
        public Rejected {
            requireNonNull(detail, "detail");
            Checks.notBlank(source, "source");
        }
    }
}
