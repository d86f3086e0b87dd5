package org.fuchsiadeck.core.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing. Every node ranks the same candidates for a key in the same order, and the removal of a candidate
 * moves only the keys that were assigned to it.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<Ranked<?>> ORDER =
            Comparator.<Ranked<?>>comparingLong(Ranked::score).reversed().thenComparing(Ranked::name);

    private Rendezvous() {}

    private record Ranked<T>(T candidate, String name, long score) {}

    /**
     * Ranks candidates for a key by descending score.
     *
     * @param <T> the type of the candidates
     * @param key the key
     * @param candidates the candidates
     * @param name returns a candidate's unique name
     * @return the candidates, highest score first
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<? super T, String> name) {
        return candidates.stream()
                .map(c -> new Ranked<T>(c, name.apply(c), score(key, name.apply(c))))
                .sorted(ORDER)
                .map(Ranked::candidate)
                .toList();
    }

    /**
     * Scores a candidate for a key.
     *
     * @param key the key
     * @param name the candidate's unique name
     * @return the score; the candidate with the highest one is the first choice
     */
    public static long score(String key, String name) {
        return score(hash(key), hash(name));
    }

    /**
     * Scores a candidate for a key from their hashes.
     *
     * @param keyHash the hash of the key
     * @param nameHash the hash of the candidate's name
     * @return the same score as {@link #score(String, String)}
     */
    public static long score(long keyHash, long nameHash) {
        return SplitMix64.mix(keyHash ^ Long.rotateLeft(nameHash, 32));
    }

    /**
     * Hashes a text with FNV-1a.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(String text) {
        long h = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return h;
    }
}
