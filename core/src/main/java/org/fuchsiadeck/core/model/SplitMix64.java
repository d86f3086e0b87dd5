package org.fuchsiadeck.core.model;

import io.vavr.collection.Vector;

/**
 * The SplitMix64 generator as a value. Each draw gives the generator to use next.
 *
 * @param state the state of the generator
 */
public record SplitMix64(long state) {
    private static final long GAMMA = 0x9E3779B97F4A7C15L;

    /**
     * Scrambles the bits of a number.
     *
     * @param value the number
     * @return a number that depends on every bit of it
     */
    public static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /**
     * Returns the generator after one more number.
     *
     * @return the next generator
     */
    public SplitMix64 next() {
        return new SplitMix64(state + GAMMA);
    }

    /**
     * Returns the current number, reduced to a range.
     *
     * @param bound the end of the range, 1 or more
     * @return a number from 0 up to, not including, the bound
     */
    public long below(long bound) {
        return Long.remainderUnsigned(mix(state), bound);
    }

    /**
     * Puts items into a random order.
     *
     * @param <T> the type of the items
     * @param items the items
     * @return the items in their new order, and the next generator
     */
    public <T> Drawn<T> shuffle(Vector<T> items) {
        Vector<T> out = items;
        SplitMix64 random = this;
        for (int i = out.size() - 1; i > 0; i--) {
            random = random.next();
            int j = (int) random.below(i + 1);
            T swap = out.get(i);
            out = out.update(i, out.get(j)).update(j, swap);
        }
        return new Drawn<>(out, random);
    }

    /**
     * Chooses items at random.
     *
     * @param <T> the type of the items
     * @param items the items
     * @param count how many; all of them if there are no more
     * @return the chosen items, and the next generator
     */
    public <T> Drawn<T> sample(Vector<T> items, int count) {
        Drawn<T> drawn = shuffle(items);
        return new Drawn<>(drawn.items().take(count), drawn.random());
    }

    /**
     * Items drawn at random.
     *
     * @param <T> the type of the items
     * @param items the items
     * @param random the generator to use next
     */
    public record Drawn<T>(Vector<T> items, SplitMix64 random) {}
}
