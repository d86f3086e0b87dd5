package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * A decision taken on a request. The most recent ones are kept for the state dump.
 *
 * @param atMs time of the decision, in milliseconds
 * @param id the request
 * @param route name of the request's route; empty if no route matched
 * @param kind the decision
 * @param backend the backend server concerned, if any
 * @param reason the reason
 */
public record Decision(long atMs, RequestId id, String route, Kind kind, Optional<BackendId> backend, String reason) {
    public Decision {
        requireNonNull(id, "id");
        requireNonNull(route, "route");
        requireNonNull(kind, "kind");
        requireNonNull(backend, "backend");
        requireNonNull(reason, "reason");
    }

    /** Kind of decision. */
    public enum Kind {
        /** The request was sent to a backend server. */
        DISPATCHED,
        /** The request was queued. */
        QUEUED,
        /** The request was refused as not run. */
        REFUSED,
        /** The caller was told that the outcome is unknown. */
        UNKNOWN,
        /** The caller was told that an earlier request has the same idempotency key. */
        DUPLICATE,
        /** The error answer of a backend server was forwarded, since no later attempt succeeded. */
        ERROR_PASSED_ON,
        /** An attempt was left to complete at a leaving backend server. */
        STAYS
    }
}
