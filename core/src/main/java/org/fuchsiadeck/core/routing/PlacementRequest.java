package org.fuchsiadeck.core.routing;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * What is asked of a placement.
 *
 * @param need what the server must be able to do
 * @param draw the request's number from 0 to 1 that decides between the versions of a rollout
 * @param version the only version allowed, for a stream that has begun
 * @param avoid servers to use only if no other is live
 * @param repeatable whether the request may run twice, so that it may go to a suspected server as a trial
 */
public record PlacementRequest(
        Need need, double draw, Option<String> version, Set<BackendId> avoid, boolean repeatable) {
    public PlacementRequest {
        requireNonNull(need, "need");
        requireNonNull(version, "version");
        requireNonNull(avoid, "avoid");
    }
}
