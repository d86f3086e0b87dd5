package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Events that the request reducer schedules or raises for itself and that do not concern a single request.
 */
public sealed interface RequestReducerEvent extends Event {
    /**
     * A suspected backend server may be tried again, the pause that a server asked for is over, or its limit may allow a
     * request.
     *
     * @param backend the server
     */
    record ServerDue(BackendId backend) implements RequestReducerEvent {}

    /**
     * The limit of a backend server is due to be reviewed.
     *
     * @param backend the server
     */
    record LimitReviewDue(BackendId backend) implements RequestReducerEvent {}

    /**
     * The queue of a service is due to be reviewed, because a release is due or capacity may have become free.
     *
     * @param service the name of the service
     */
    record CapacityDue(String service) implements RequestReducerEvent {}

    /** The notice period of a graceful shutdown is nearly over. */
    record DrainDue() implements RequestReducerEvent {}

    /** The last request of a graceful shutdown has ended. */
    record Drained() implements RequestReducerEvent {}
}
