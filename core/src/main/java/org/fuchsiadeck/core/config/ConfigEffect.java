package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Effects that the configuration's reducer requests from the node.
 */
public sealed interface ConfigEffect extends Effect {
    /**
     * Parses a value of the platform's key-value service as a configuration. The result is a {@link ConfigEvent.Parsed}
     * or a {@link ConfigEvent.Rejected}.
     *
     * @param revision the revision of the value
     * @param value the value as the key-value service holds it
     * @param source where the value came from: {@code platform}, or the id of a peer
     */
    record Parse(long revision, String value, String source) implements ConfigEffect {
        public Parse {
            Checks.inRange(revision, 1, Long.MAX_VALUE, "revision");
            requireNonNull(value, "value");
            Checks.notBlank(source, "source");
        }
    }
}
