package org.fuchsiadeck.node.backend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.PolicyCache;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;

/**
 * Determines the maximum age of a connection to each backend server from the policy in force.
 */
final class ConnectionAgeLimits {
    private static final int MAX_SERVERS = 8_192;

    private final Supplier<Configuration> configuration;
    private final LongSupplier wallMs;
    private final Map<Address, Subject> subjects = new ConcurrentHashMap<>();
    private volatile PolicyCache policies = PolicyCache.EMPTY;

    /**
     * Creates limits without recorded servers.
     *
     * @param configuration supplies the current configuration
     * @param wallMs supplies the wall-clock time, in milliseconds since 1970
     */
    ConnectionAgeLimits(Supplier<Configuration> configuration, LongSupplier wallMs) {
        this.configuration = configuration;
        this.wallMs = wallMs;
    }

    /** Records the server and returns the maximum age of connections to it, in milliseconds. */
    long maxAgeMs(Backend backend) {
        Subject subject = Subject.of(backend);
        subjects.put(backend.address(), subject);
        return maxAgeMs(subject);
    }

    /** Returns the maximum age of pooled connections to an address, in milliseconds. */
    long maxAgeMs(Address address) {
        return maxAgeMs(subjects.getOrDefault(address, Subject.NONE));
    }

    /** Removes servers without pooled connections if more than {@link #MAX_SERVERS} are recorded. */
    void evictUnused(Set<Address> pooledAddresses) {
        if (subjects.size() > MAX_SERVERS) {
            subjects.keySet().retainAll(pooledAddresses);
        }
    }

    private long maxAgeMs(Subject subject) {
        PolicyCache valid = policies.validFor(configuration.get(), wallMs.getAsLong());
        PolicyCache updated = valid.find(subject).isDefined() ? valid : valid.withPolicyFor(subject);
        policies = updated;
        return updated.find(subject).get().connectionMaxAgeMs();
    }
}
