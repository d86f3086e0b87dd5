package org.fuchsiadeck.core.routing;

import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The requirements and constraints for the placement of one request on a backend server.
 *
 * @param need the requirements that the server must meet
 * @param versionDraw a random number from 0 to 1, fixed for the request, that decides between the versions of a rollout
 * @param requiredVersion the only version allowed, for a stream that has started
 * @param avoided servers to use only if no other server is live
 * @param repeatable whether the request may run twice, so that it may be the trial request of a suspected server
 */
public record PlacementRequest(
        Need need, double versionDraw, Option<String> requiredVersion, Set<BackendId> avoided, boolean repeatable) {
    public PlacementRequest {
        requireNonNull(need, "need");
        requireNonNull(requiredVersion, "requiredVersion");
        requireNonNull(avoided, "avoided");
    }
}
