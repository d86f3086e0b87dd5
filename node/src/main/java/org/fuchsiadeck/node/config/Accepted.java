package org.fuchsiadeck.node.config;

import java.util.List;

import static java.util.Objects.requireNonNull;

/**
 * A configuration that the platform's service holds or held.
 *
 * @param revision its revision
 * @param envelope the text with its operator and reason
 */
public record Accepted(long revision, Envelope envelope) {
    public Accepted {
        requireNonNull(envelope, "envelope");
    }

    /**
     * Returns all known changes up to this one.
     *
     * @return the changes, newest first
     */
    public List<Envelope.Change> changes() {
        return envelope.changes(revision);
    }
}
