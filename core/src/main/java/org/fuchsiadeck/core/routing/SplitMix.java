package org.fuchsiadeck.core.routing;

/**
 * Seeded pseudo-random numbers by the SplitMix64 function. The numbers depend on the arguments only, so a replay draws
 * the same ones.
 */
public final class SplitMix {
    private static final long GAMMA = 0x9E3779B97F4A7C15L;
    private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
    private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;
    private static final int SHIFT_1 = 30;
    private static final int SHIFT_2 = 27;
    private static final int SHIFT_3 = 31;
    private static final int UNIT_SHIFT = 11;
    private static final double UNIT = 0x1.0p-53;

    private SplitMix() {}

    /**
     * Returns one number of a sequence.
     *
     * @param seed the seed of the sequence
     * @param index which number
     * @return 64 pseudo-random bits
     */
    public static long draw(long seed, long index) {
        return mix(seed + (index + 1) * GAMMA);
    }

    /**
     * Spreads the bits of a number.
     *
     * @param bits any number
     * @return 64 bits that each depend on every bit of the argument
     */
    public static long mix(long bits) {
        long z = (bits ^ (bits >>> SHIFT_1)) * MULTIPLIER_1;
        z = (z ^ (z >>> SHIFT_2)) * MULTIPLIER_2;
        return z ^ (z >>> SHIFT_3);
    }

    /**
     * Makes a fraction of random bits.
     *
     * @param bits random bits
     * @return a number from 0 up to, not including, 1
     */
    public static double toFraction(long bits) {
        return (bits >>> UNIT_SHIFT) * UNIT;
    }

    /**
     * Makes an index of random bits.
     *
     * @param bits random bits
     * @param bound the number of indices, 1 or more
     * @return a number from 0 up to, not including, the bound
     */
    public static int below(long bits, int bound) {
        return (int) (toFraction(bits) * bound);
    }
}
