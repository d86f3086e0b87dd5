package org.fuchsiadeck.core.routing;

/**
 * Generates pseudo-random numbers with the SplitMix64 function. The numbers depend only on the arguments, so a replay
 * yields the same ones.
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
     * Returns one number of a pseudo-random sequence.
     *
     * @param seed the seed of the sequence
     * @param index the position in the sequence
     * @return 64 pseudo-random bits
     */
    public static long draw(long seed, long index) {
        return mix(seed + (index + 1) * GAMMA);
    }

    /**
     * Mixes the bits of a number, for use as a hash.
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
     * Converts random bits to a fraction.
     *
     * @param bits random bits
     * @return a number from 0 inclusive to 1 exclusive
     */
    public static double toFraction(long bits) {
        return (bits >>> UNIT_SHIFT) * UNIT;
    }

    /**
     * Converts random bits to an index.
     *
     * @param bits random bits
     * @param bound the exclusive upper bound, 1 or more
     * @return a number from 0 inclusive to the bound exclusive
     */
    public static int below(long bits, int bound) {
        return (int) (toFraction(bits) * bound);
    }
}
