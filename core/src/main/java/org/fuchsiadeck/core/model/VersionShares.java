package org.fuchsiadeck.core.model;

import java.util.Map;
import java.util.Set;

import static java.util.Objects.requireNonNull;

/**
 * Which versions of each service may take new traffic, and how much.
 *
 * @param services by service name; a service that is missing has no rollout, and all its versions but the condemned
 *     ones take traffic alike
 * @param condemned versions that may take no new request
 */
public record VersionShares(Map<String, Split> services, Set<ServiceVersion> condemned) {
    /** No rollout under way and nothing condemned. */
    public static final VersionShares NONE = new VersionShares(Map.of(), Set.of());

    public VersionShares {
        services = Map.copyOf(services);
        condemned = Set.copyOf(condemned);
    }

    /**
     * A version of a service.
     *
     * @param service the service
     * @param version the version
     */
    public record ServiceVersion(String service, String version) {
        public ServiceVersion {
            Checks.notBlank(service, "service");
            Checks.notBlank(version, "version");
        }
    }

    /**
     * How a service's new requests are split during a rollout.
     *
     * @param rollout the rollout's number
     * @param oldVersion the version that takes the rest
     * @param newVersion the version being rolled out
     * @param newShare the share of the new version, 0 to 1
     * @param newBackends the servers of the new version that may take requests; empty for all of them
     */
    public record Split(
            long rollout, String oldVersion, String newVersion, double newShare, Set<BackendId> newBackends) {
        public Split {
            Checks.notBlank(oldVersion, "oldVersion");
            Checks.notBlank(newVersion, "newVersion");
            if (!(newShare >= 0 && newShare <= 1)) {
                throw new IllegalArgumentException("newShare must be from 0 to 1, was " + newShare);
            }
            requireNonNull(newBackends, "newBackends");
            newBackends = Set.copyOf(newBackends);
        }
    }
}
