package org.fuchsiadeck.testbed.cloud;

import java.util.List;

import static java.util.Objects.requireNonNull;

/**
 * A backend server in the list of instances.
 *
 * @param id its id
 * @param address {@code host:port}
 * @param zone its availability zone
 * @param kind what it speaks
 * @param service the service it runs
 * @param version the version of the service
 * @param models the models it holds
 * @param adapters the adapters it holds
 * @param roles the roles it can take
 * @param slots how many requests it works on at a time
 * @param pricePerHour what it costs per hour
 * @param reclaimable whether it may be taken back
 * @param leaving whether it has been given notice
 */
public record BackendInstance(
        String id,
        String address,
        String zone,
        Kind kind,
        String service,
        String version,
        List<String> models,
        List<String> adapters,
        List<String> roles,
        int slots,
        double pricePerHour,
        boolean reclaimable,
        boolean leaving) {
    public BackendInstance {
        requireNonNull(id, "id");
        requireNonNull(address, "address");
        requireNonNull(zone, "zone");
        requireNonNull(kind, "kind");
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        roles = roles == null ? List.of() : List.copyOf(roles);
    }

    BackendInstance asLeaving() {
        return copy(version, true);
    }

    BackendInstance withVersion(String next) {
        return copy(next, leaving);
    }

    private BackendInstance copy(String nextVersion, boolean nextLeaving) {
        return new BackendInstance(
                id,
                address,
                zone,
                kind,
                service,
                nextVersion,
                models,
                adapters,
                roles,
                slots,
                pricePerHour,
                reclaimable,
                nextLeaving);
    }

    /** What a backend server speaks. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        APPLICATION
    }
}
