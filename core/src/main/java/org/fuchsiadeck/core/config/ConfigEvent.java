package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What happens to the configuration of a node.
 */
public sealed interface ConfigEvent extends Event {
    /** Time has come to look whether a call, a message or a timeout is due. */
    record Tick() implements ConfigEvent {}

    /**
     * A value was read as a configuration.
     *
     * @param configuration the configuration, with the revision of the value
     * @param value the value as the platform's service holds it
     * @param source where the value came from
     */
    record Parsed(Configuration configuration, String value, String source) implements ConfigEvent {
        public Parsed {
            requireNonNull(configuration, "configuration");
            requireNonNull(value, "value");
            Checks.notBlank(source, "source");
        }
    }

    /**
     * A value could not be read as a configuration.
     *
     * @param revision the revision of the value
     * @param detail what is wrong, with line and column
     * @param source where the value came from
     */
    record Rejected(long revision, String detail, String source) implements ConfigEvent {
        public Rejected {
            requireNonNull(detail, "detail");
            Checks.notBlank(source, "source");
        }
    }
}
