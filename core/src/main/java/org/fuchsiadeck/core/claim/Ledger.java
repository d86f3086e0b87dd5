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
record Ledger(TreeMap<String, Vector<Claim>> byKey) {
    static Ledger empty() {
        return new Ledger(TreeMap.empty());
    }

    Vector<Claim> claims(String key) {
        return byKey.getOrElse(key, Vector.empty());
    }

    Ledger add(String key, Claim claim) {
        Vector<Claim> held = claims(key);
        int at = held.indexWhere(c -> c.id().equals(claim.id()));
        Vector<Claim> next = at < 0 ? held.append(claim) : held.update(at, c -> c.merge(claim));
        return new Ledger(byKey.put(key, next));
    }

    Ledger expire(long nowMs) {
        TreeMap<String, Vector<Claim>> next = byKey;
        for (var entry : byKey) {
            Vector<Claim> left = entry._2.filter(c -> nowMs < c.expiresMs());
            if (left.isEmpty()) {
                next = next.remove(entry._1);
            } else if (left.size() < entry._2.size()) {
                next = next.put(entry._1, left);
            }
        }
        return new Ledger(next);
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
