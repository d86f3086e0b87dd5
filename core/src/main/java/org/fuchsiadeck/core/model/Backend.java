package org.fuchsiadeck.core.model;

import java.util.Set;

import static java.util.Objects.requireNonNull;

/**
 * A backend server as described by the platform's list of instances.
 *
 * @param id the server's id
 * @param address the address at which it accepts requests
 * @param zone the availability zone in which it runs
 * @param kind the protocol that it speaks
 * @param service the name of the service that it runs, as used in routes
 * @param version the version of the service
 * @param models the models that it has loaded; empty for an application
 * @param adapters the adapters that it has loaded; empty for an application
 * @param roles the roles that it supports, such as {@code prefill} and {@code decode}
 * @param slots the number of requests that it can process at a time
 * @param pricePerHour the price of the instance per hour, in the deployment's currency
 * @param reclaimable whether the platform may reclaim the instance
 * @param leaving whether the instance has received a reclaim notice
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

    /**
     * Returns this server with a reclaim notice.
     *
     * @return the same server, leaving
     */
    public Backend asLeaving() {
        return new Backend(
                id,
                address,
                zone,
                kind,
                service,
                version,
                models,
                adapters,
                roles,
                slots,
                pricePerHour,
                reclaimable,
                true);
    }

    /** The protocol that a backend server speaks. */
    public enum Kind {
        /** The protocol of model engines: streamed completions, resume, cancel, KV cache export and import. */
        ENGINE,
        /** The protocol of plain services: one answer per request. */
        APPLICATION
    }
}
