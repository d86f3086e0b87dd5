package org.fuchsiadeck.testbed.kv;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Leases and the keys that go with them. The clock is the caller's, in nanoseconds.
 */
final class Leases {
    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<String, Lease> leases = new HashMap<>();

    private long made;

    synchronized String open(long ttlMs, long nowNs) {
        String id = "lease-" + ++made;
        leases.put(id, new Lease(ttlMs, nowNs));
        return id;
    }

    synchronized boolean renew(String id, long nowNs) {
        Lease lease = leases.get(id);
        if (lease == null || lease.hasEnded(nowNs)) {
            return false;
        }
        lease.renewedNs = nowNs;
        return true;
    }

    synchronized boolean isOpen(String id, long nowNs) {
        Lease lease = leases.get(id);
        return lease != null && !lease.hasEnded(nowNs);
    }

    /** Ties a key to a lease in place of the one before; an empty id ties it to none. */
    synchronized void attach(String id, String key) {
        leases.values().forEach(l -> l.keys.remove(key));
        Lease lease = leases.get(id);
        if (lease != null) {
            lease.keys.add(key);
        }
    }

    synchronized Set<String> end(String id) {
        Lease lease = leases.remove(id);
        return lease == null ? null : lease.keys;
    }

    synchronized List<String> endDue(long nowNs) {
        List<String> keys = new ArrayList<>();
        leases.values().removeIf(lease -> {
            boolean ended = lease.hasEnded(nowNs);
            if (ended) {
                keys.addAll(lease.keys);
            }
            return ended;
        });
        return keys;
    }

    private static final class Lease {
        private final long ttlNs;

        private final Set<String> keys = new HashSet<>();

        private long renewedNs;

        Lease(long ttlMs, long nowNs) {
            this.ttlNs = ttlMs * NANOS_PER_MS;
            this.renewedNs = nowNs;
        }

        boolean hasEnded(long nowNs) {
            return nowNs - renewedNs >= ttlNs;
        }
    }
}
