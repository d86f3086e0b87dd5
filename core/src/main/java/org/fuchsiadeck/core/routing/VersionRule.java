package org.fuchsiadeck.core.routing;

import java.util.List;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.VersionShares.Split;

/**
 * Which versions of a service may take a request.
 *
 * @param shares the shares in force
 * @param request the request
 */
record VersionRule(VersionShares shares, PlacementRequest request) {
    /**
     * Returns the versions to try, the preferred one first.
     *
     * @return the versions; empty for any version
     */
    List<String> preferredVersions() {
        if (request.version().isDefined()) {
            return List.of(request.version().get());
        }
        Split split = shares.services().get(request.need().service());
        if (split == null) {
            return List.of();
        }
        return request.draw() < split.newShare()
                ? List.of(split.newVersion(), split.oldVersion())
                : List.of(split.oldVersion());
    }

    /**
     * Tells whether a server may take the request. A stream that has begun stays with its version, also when that has
     * been condemned since.
     *
     * @param backend the server
     * @return whether it may
     */
    boolean allows(Backend backend) {
        if (request.version().isDefined()) {
            return request.version().get().equals(backend.version());
        }
        if (condemned(backend)) {
            return false;
        }
        Split split = shares.services().get(backend.service());
        if (split == null || !split.newVersion().equals(backend.version())) {
            return true;
        }
        return split.newBackends().isEmpty() || split.newBackends().contains(backend.id());
    }

    private boolean condemned(Backend backend) {
        return !shares.condemned().isEmpty()
                && shares.condemned().contains(new ServiceVersion(backend.service(), backend.version()));
    }
}
