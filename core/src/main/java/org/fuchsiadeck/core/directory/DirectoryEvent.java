package org.fuchsiadeck.core.directory;

import org.fuchsiadeck.core.Event;

/**
 * An event of the directory of backend servers and entry nodes other than a result from the platform's service.
 */
public sealed interface DirectoryEvent extends Event {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /** A regular check whether calls to the platform's service are due or have timed out. */
    record Tick() implements DirectoryEvent {}
}
