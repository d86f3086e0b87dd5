package org.fuchsiadeck.core.claim;

import java.util.function.Predicate;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;

/**
 * The claims an owner remembers. A key may have several: those granted here one after the other, and those taken over
 * from earlier owners.
 *
 * @param byKey the claims of each key
 */
record OwnerClaims(TreeMap<String, Vector<Claim>> byKey) {
    static OwnerClaims empty() {
        return new OwnerClaims(TreeMap.empty());
    }

    Vector<Claim> claims(String key) {
        return byKey.getOrElse(key, Vector.empty());
    }

    OwnerClaims add(String key, Claim claim) {
        Vector<Claim> held = claims(key);
        int at = held.indexWhere(c -> c.id().equals(claim.id()));
        Vector<Claim> next = at < 0 ? held.append(claim) : held.update(at, c -> c.merge(claim));
        return new OwnerClaims(byKey.put(key, next));
    }

    OwnerClaims expire(long nowMs) {
        TreeMap<String, Vector<Claim>> next = byKey;
        for (var entry : byKey) {
            Vector<Claim> left = entry._2.filter(c -> nowMs < c.expiresMs());
            if (left.isEmpty()) {
                next = next.remove(entry._1);
            } else if (left.size() < entry._2.size()) {
                next = next.put(entry._1, left);
            }
        }
        return new OwnerClaims(next);
    }

    /** Finds the next keys after a key, in order, that someone else is to own. */
    Vector<String> keysAfter(String after, int limit, Predicate<String> wanted) {
        return byKey.keysIterator()
                .dropWhile(k -> k.compareTo(after) <= 0)
                .filter(wanted)
                .take(limit)
                .toVector();
    }
}
