package org.fuchsiadeck.node.front;

import java.util.ArrayList;
import java.util.List;

/**
 * Hashes the prefixes of a prompt, so that prompts that begin alike can be told.
 */
final class PromptPrefix {
    private static final int BLOCK_WORDS = 16;
    private static final int MAX_BLOCKS = 64;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final char SEPARATOR = ' ';

    private final List<Long> hashes = new ArrayList<>();
    private long hash = FNV_OFFSET;
    private int words;
    private boolean inWord;

    private PromptPrefix() {}

    /**
     * Hashes a prompt.
     *
     * @param prompt the prompt
     * @return the hashes of its first 16, 32, 48 … words, and the number of all its words
     */
    static Result of(String prompt) {
        PromptPrefix prefix = new PromptPrefix();
        for (int i = 0; i < prompt.length(); i++) {
            prefix.take(prompt.charAt(i));
        }
        prefix.endWord();
        return new Result(prefix.hashes, prefix.words);
    }

    /**
     * The outcome of hashing.
     *
     * @param hashes the hashes, the shortest prefix first
     * @param words the number of words in the prompt
     */
    record Result(List<Long> hashes, int words) {}

    private void take(char c) {
        if (Character.isWhitespace(c)) {
            endWord();
            return;
        }
        inWord = true;
        mix(c);
    }

    private void endWord() {
        if (!inWord) {
            return;
        }
        inWord = false;
        mix(SEPARATOR);
        words++;
        if (words % BLOCK_WORDS == 0 && hashes.size() < MAX_BLOCKS) {
            hashes.add(hash);
        }
    }

    private void mix(char c) {
        hash = (hash ^ c) * FNV_PRIME;
    }
}
