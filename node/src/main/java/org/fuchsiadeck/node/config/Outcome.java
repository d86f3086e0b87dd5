package org.fuchsiadeck.node.config;

import java.util.List;
import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * What came of a {@link Proposal}.
 */
public sealed interface Outcome {
    /**
     * The configuration was accepted. It may have been replaced since.
     *
     * @param revision the revision it was given
     */
    record Done(long revision) implements Outcome {}

    /**
     * Another change came first; this one was not accepted and never will be.
     *
     * @param current the configuration accepted instead; empty if the key was deleted
     */
    record Conflict(Optional<Accepted> current) implements Outcome {
        public Conflict {
            requireNonNull(current, "current");
        }
    }

    /**
     * The text is not a valid configuration; nothing was written.
     *
     * @param errors what is wrong
     */
    record Invalid(List<ConfigError> errors) implements Outcome {
        public Invalid {
            errors = List.copyOf(errors);
        }
    }

    /**
     * The configuration was not accepted and never will be.
     *
     * @param detail what was seen
     */
    record Failed(String detail) implements Outcome {
        public Failed {
            requireNonNull(detail, "detail");
        }
    }

    /**
     * It could not be told whether the configuration was accepted, or may still be.
     *
     * @param writeId the id of the write, to look for later
     * @param detail what was seen
     */
    record Unknown(String writeId, String detail) implements Outcome {
        public Unknown {
            requireNonNull(writeId, "writeId");
            requireNonNull(detail, "detail");
        }
    }
}
