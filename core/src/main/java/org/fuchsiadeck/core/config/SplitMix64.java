package org.fuchsiadeck.core.config;

/**
 * A seeded generator of pseudo-random numbers, as a value.
 *
 * @param state where the sequence stands
 */
record SplitMix64(long state) {
    private static final long GAMMA = 0x9E3779B97F4A7C15L;

    /** Returns the generator after one more number. */
    SplitMix64 next() {
        return new SplitMix64(state + GAMMA);
    }

    /** Returns the current number. */
    long value() {
        return mix(state);
    }

    /** Returns the current number, reduced to 0 up to but not including the bound, which must be positive. */
    long below(long bound) {
        return Long.remainderUnsigned(value(), bound);
    }

    /** Spreads the bits of a number over all 64. */
    static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
        return b ^ (b >>> 31);
    }

    /** Hashes a text, the same on every node. */
    static long hash(String text) {
        long h = GAMMA;
        for (int i = 0; i < text.length(); i++) {
            h = mix(h ^ text.charAt(i)) + GAMMA;
        }
        return mix(h);
    }
}
