package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Times and turns of the requests as a whole, which the reducer sets for itself.
 */
public sealed interface RequestReducerEvent extends Event {
    /**
     * A backend server that was suspected may be tried again, or one that asked for a pause may be sent requests.
     *
     * @param backend the server
     */
    record ServerDue(BackendId backend) implements RequestReducerEvent {}

    /** The time of a graceful shutdown is nearly over. */
    record DrainDue() implements RequestReducerEvent {}

    /** The last request of a graceful shutdown has ended. */
    record Drained() implements RequestReducerEvent {}
}
