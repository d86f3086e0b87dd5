package org.fuchsiadeck.testbed.engine;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * KV caches kept for export, for a while.
 */
final class KvHandles {
    private static final long NANOS_PER_MS = 1_000_000;

    private final String engine;

    private final long keepNs;

    private final Map<String, Kept> kept = new ConcurrentHashMap<>();

    private final AtomicLong made = new AtomicLong();

    KvHandles(String engine, long keepMs) {
        this.engine = engine;
        this.keepNs = keepMs * NANOS_PER_MS;
    }

    String keep(Generation g) {
        dropOld();
        String id = engine + "-" + made.incrementAndGet();
        int tokens = g.hashes().count();
        Handle handle =
                new Handle(g.version(), g.request().model(), tokens, g.hashes().at(tokens));
        kept.put(id, new Kept(handle, System.nanoTime()));
        return id;
    }

    Optional<Handle> find(String id) {
        dropOld();
        return Optional.ofNullable(kept.get(id)).map(Kept::handle);
    }

    void clear() {
        kept.clear();
    }

    private void dropOld() {
        long now = System.nanoTime();
        kept.values().removeIf(k -> now - k.atNs > keepNs);
    }

    /**
     * A KV cache that another engine can take over.
     *
     * @param version the version that computed it
     * @param model the model
     * @param tokens how many tokens it covers
     * @param hash the hash of these tokens
     */
    record Handle(String version, String model, int tokens, long hash) {
        /** Counts the leading tokens that this cache saves computing; 0 if it belongs to another text. */
        int match(String otherVersion, String otherModel, TokenHashes hashes) {
            boolean same = otherVersion.equals(version)
                    && Objects.equals(otherModel, model)
                    && tokens <= hashes.count()
                    && hashes.at(tokens) == hash;
            return same ? tokens : 0;
        }
    }

    private record Kept(Handle handle, long atNs) {}
}
