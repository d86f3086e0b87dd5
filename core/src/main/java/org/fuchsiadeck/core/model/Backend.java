package org.fuchsiadeck.core.model;

import java.util.Set;

import static java.util.Objects.requireNonNull;

/**
 * A backend server, as the platform's list of instances gives it.
 *
 * @param id the server's id
 * @param address where it takes requests
 * @param zone the availability zone it runs in
 * @param kind what it speaks
 * @param service the service it runs, as routes name it
 * @param version the version of the service
 * @param models the models it holds; empty for an application
 * @param adapters the adapters it holds; empty for an application
 * @param roles the roles it can take, such as {@code prefill} and {@code decode}
 * @param slots how many requests it can work on at a time
 * @param pricePerHour what the instance costs per hour, in the deployment's currency
 * @param reclaimable whether the platform may take the instance back
 * @param leaving whether the instance has been given notice
 */
public record Backend(
        BackendId id,
        Address address,
        Zone zone,
        Kind kind,
        String service,
        String version,
        Set<String> models,
        Set<String> adapters,
        Set<String> roles,
        int slots,
        double pricePerHour,
        boolean reclaimable,
        boolean leaving) {
    public Backend {
        requireNonNull(id, "id");
        requireNonNull(address, "address");
        requireNonNull(zone, "zone");
        requireNonNull(kind, "kind");
        Checks.notBlank(service, "service");
        Checks.notBlank(version, "version");
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
        roles = Set.copyOf(roles);
        Checks.inRange(slots, 1, Integer.MAX_VALUE, "slots");
    }

    /** What a backend server speaks. */
    public enum Kind {
        /** A model engine: streamed completions, resume, cancel, KV cache export and import. */
        ENGINE,
        /** A plain service: one request, one answer. */
        APPLICATION
    }
}
