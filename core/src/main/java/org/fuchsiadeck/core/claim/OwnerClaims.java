package org.fuchsiadeck.core.claim;

import java.util.function.Predicate;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;

/**
 * The claims that this node stores as an owner of idempotency keys. A key may have several: those granted here one
 * after the other, and those taken over from earlier owners.
 *
 * @param byKey the claims of each key, in key order
 */
record OwnerClaims(TreeMap<String, Vector<Claim>> byKey) {
    static OwnerClaims empty() {
        return new OwnerClaims(TreeMap.empty());
    }

    Vector<Claim> claims(String key) {
        return byKey.getOrElse(key, Vector.empty());
    }

    /** Adds a claim, or merges it into the stored one with the same identifier. */
    OwnerClaims add(String key, Claim claim) {
        Vector<Claim> stored = claims(key);
        int index = stored.indexWhere(c -> c.id().equals(claim.id()));
        Vector<Claim> next = index < 0 ? stored.append(claim) : stored.update(index, c -> c.merge(claim));
        return new OwnerClaims(byKey.put(key, next));
    }

    OwnerClaims expire(long nowMs) {
        TreeMap<String, Vector<Claim>> next = byKey;
        for (var entry : byKey) {
            Vector<Claim> remaining = entry._2.filter(c -> nowMs < c.expiresMs());
            if (remaining.isEmpty()) {
                next = next.remove(entry._1);
            } else if (remaining.size() < entry._2.size()) {
                next = next.put(entry._1, remaining);
            }
        }
        return new OwnerClaims(next);
    }

    /** Returns the first keys after a key, in order, that pass a filter; at most {@code limit}. */
    Vector<String> keysAfter(String after, int limit, Predicate<String> filter) {
        return byKey.keysIterator()
                .dropWhile(k -> k.compareTo(after) <= 0)
                .filter(filter)
                .take(limit)
                .toVector();
    }
}
