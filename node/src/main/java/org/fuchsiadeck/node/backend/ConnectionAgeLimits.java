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
 * How old an idle connection to each backend server may become.
 */
final class ConnectionAgeLimits {
    private static final int MAX_SERVERS = 8_192;

    private final Supplier<Configuration> configuration;
    private final LongSupplier wallMs;
    private final Map<Address, Subject> servers = new ConcurrentHashMap<>();
    private volatile PolicyCache policies = PolicyCache.EMPTY;

    /**
     * Creates the ages of no server.
     *
     * @param configuration gives the configuration in force
     * @param wallMs gives the wall-clock time, in milliseconds since 1970
     */
    ConnectionAgeLimits(Supplier<Configuration> configuration, LongSupplier wallMs) {
        this.configuration = configuration;
        this.wallMs = wallMs;
    }

    /** Returns the greatest age of a connection to a server that is in use, in milliseconds. */
    long maxAgeMs(Backend backend) {
        Subject subject = Subject.of(backend);
        servers.put(backend.address(), subject);
        return maxAgeMs(subject);
    }

    /** Returns the greatest age of a kept connection, in milliseconds. */
    long maxAgeMs(Address address) {
        return maxAgeMs(servers.getOrDefault(address, Subject.NONE));
    }

    /** Forgets servers to which no connections are kept once many are known. */
    void evictUnused(Set<Address> kept) {
        if (servers.size() > MAX_SERVERS) {
            servers.keySet().retainAll(kept);
        }
    }

    private long maxAgeMs(Subject subject) {
        PolicyCache table = policies.validFor(configuration.get(), wallMs.getAsLong());
        PolicyCache next = table.find(subject).isDefined() ? table : table.withPolicyFor(subject);
        policies = next;
        return next.find(subject).get().connectionMaxAgeMs();
    }
}
