package org.fuchsiadeck.core.routing;

import java.util.List;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.VersionShares.Split;

/**
 * Decides which versions of a service may take a request during a rollout.
 *
 * @param shares the current traffic shares of the versions
 * @param request the request to be placed
 */
record VersionRule(VersionShares shares, PlacementRequest request) {
    /**
     * Returns the versions to try, in order of preference. The new version of a rollout is not tried for requests
     * outside its share.
     *
     * @return the versions; empty if any version may be used
     */
    List<String> preferredVersions() {
        if (request.requiredVersion().isDefined()) {
            return List.of(request.requiredVersion().get());
        }
        Split split = shares.services().get(request.need().service());
        if (split == null) {
            return List.of();
        }
        return request.versionDraw() < split.newShare()
                ? List.of(split.newVersion(), split.oldVersion())
                : List.of(split.oldVersion());
    }

    /**
     * Returns whether the version of a server may take the request. A stream that has started stays with its version,
     * even if that version has been condemned since.
     *
     * @param backend the server
     * @return whether the server may take the request
     */
    boolean allows(Backend backend) {
        if (request.requiredVersion().isDefined()) {
            return request.requiredVersion().get().equals(backend.version());
        }
        if (isCondemned(backend)) {
            return false;
        }
        Split split = shares.services().get(backend.service());
        if (split == null || !split.newVersion().equals(backend.version())) {
            return true;
        }
        return split.newBackends().isEmpty() || split.newBackends().contains(backend.id());
    }

    private boolean isCondemned(Backend backend) {
        return !shares.condemned().isEmpty()
                && shares.condemned().contains(new ServiceVersion(backend.service(), backend.version()));
    }
}
