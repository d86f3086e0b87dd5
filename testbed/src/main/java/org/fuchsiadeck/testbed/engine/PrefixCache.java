package org.fuchsiadeck.testbed.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which blocks of 16 tokens are cached; the least recently used go first. One thread uses it.
 */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    private final CacheEvents events;

    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int capacity, CacheEvents events) {
        this.capacity = capacity;
        this.events = events;
    }

    /** Counts the leading tokens whose blocks are cached. */
    int cachedTokens(TokenHashes tokens) {
        int block = 0;
        while (block < tokens.blocks() && blocks.get(tokens.blockKey(block)) != null) {
            block++;
        }
        return block * TokenHashes.BLOCK_TOKENS;
    }

    void addAll(TokenHashes tokens) {
        for (int i = 0; i < tokens.blocks(); i++) {
            add(tokens.blockKey(i));
        }
    }

    void add(long key) {
        if (blocks.put(key, true) == null) {
            events.add(key, true);
        }
        if (blocks.size() > capacity) {
            evict();
        }
    }

    void clear() {
        blocks.keySet().forEach(key -> events.add(key, false));
        blocks.clear();
    }

    private void evict() {
        Iterator<Long> eldest = blocks.keySet().iterator();
        events.add(eldest.next(), false);
        eldest.remove();
    }
}
