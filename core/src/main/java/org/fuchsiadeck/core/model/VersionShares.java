package org.fuchsiadeck.core.model;

import java.util.Map;
import java.util.Set;

import static java.util.Objects.requireNonNull;

/**
 * The versions of each service that may take new requests, and their shares during rollouts.
 *
 * @param services the traffic splits by service name; a service without an entry has no rollout, and all its versions
 *     except condemned ones take requests alike
 * @param condemned the versions that may not take new requests
 */
public record VersionShares(Map<String, Split> services, Set<ServiceVersion> condemned) {
    /** The shares without any rollout in progress or condemned version. */
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
     * The split of a service's new requests between two versions during a rollout.
     *
     * @param rollout the number of the rollout
     * @param oldVersion the version that takes the remaining requests
     * @param newVersion the version being rolled out
     * @param newShare the fraction of requests for the new version, 0 to 1
     * @param newBackends the servers of the new version that may take requests; empty if all may
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
