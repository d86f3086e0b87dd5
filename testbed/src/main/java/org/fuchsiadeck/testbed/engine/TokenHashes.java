package org.fuchsiadeck.testbed.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The tokens of a text as running 64-bit FNV-1a hashes: the hash at {@code n} is that of the UTF-8 bytes of the first
 * {@code n} tokens. A token is a word with the white space that follows it.
 */
final class TokenHashes {
    /** How many tokens the prefix cache holds as one block. */
    static final int BLOCK_TOKENS = 16;

    /** The hash of no bytes. */
    static final long START = 0xCBF2_9CE4_8422_2325L;

    private static final long PRIME = 0x100_0000_01B3L;

    private static final int FIRST_CAPACITY = 64;

    private long[] hashes = new long[FIRST_CAPACITY];

    private int count;

    TokenHashes() {
        hashes[0] = START;
    }

    static TokenHashes of(String text) {
        TokenHashes hashes = new TokenHashes();
        hashes.addText(text);
        return hashes;
    }

    static long hash(long from, String text) {
        return hash(from, text.getBytes(StandardCharsets.UTF_8));
    }

    void addText(String text) {
        int start = 0;
        while (start < text.length()) {
            int end = endOfToken(text, start);
            add(text.substring(start, end).getBytes(StandardCharsets.UTF_8));
            start = end;
        }
    }

    void add(byte[] token) {
        if (count + 1 == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * hashes.length);
        }
        hashes[count + 1] = hash(hashes[count], token);
        count++;
    }

    int count() {
        return count;
    }

    int blocks() {
        return count / BLOCK_TOKENS;
    }

    /** Gives the hash of the first {@code n} tokens. */
    long at(int n) {
        return hashes[n];
    }

    /** Gives the key of the cache block with the index {@code block}, from 0. */
    long blockKey(int block) {
        return hashes[(block + 1) * BLOCK_TOKENS];
    }

    private static int endOfToken(String text, int start) {
        int i = start;
        while (i < text.length() && Character.isWhitespace(text.charAt(i))) {
            i++;
        }
        while (i < text.length() && !Character.isWhitespace(text.charAt(i))) {
            i++;
        }
        while (i < text.length() && Character.isWhitespace(text.charAt(i))) {
            i++;
        }
        return i;
    }

    private static long hash(long from, byte[] bytes) {
        long hash = from;
        for (byte b : bytes) {
            hash = (hash ^ b & 0xFF) * PRIME;
        }
        return hash;
    }
}
