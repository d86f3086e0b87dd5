package org.fuchsiadeck.core.model;

import io.vavr.collection.Vector;

/**
 * An immutable SplitMix64 pseudo-random number generator. Its state does not change; shuffling and sampling also return
 * the generator to use next.
 *
 * @param state the state of the generator
 */
public record SplitMix64(long state) {
    private static final long GAMMA = 0x9E3779B97F4A7C15L;

    /**
     * Mixes the bits of a number, for use as a hash.
     *
     * @param value the number
     * @return 64 bits that each depend on every bit of the argument
     */
    public static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /**
     * Returns the generator that is advanced by one number.
     *
     * @return the next generator
     */
    public SplitMix64 next() {
        return new SplitMix64(state + GAMMA);
    }

    /**
     * Returns the current number, reduced to a range.
     *
     * @param bound the exclusive upper bound, 1 or more
     * @return a number from 0 inclusive to the bound exclusive
     */
    public long below(long bound) {
        return Long.remainderUnsigned(mix(state), bound);
    }

    /**
     * Shuffles items.
     *
     * @param <T> the type of the items
     * @param items the items
     * @return the shuffled items, and the generator to use next
     */
    public <T> Drawn<T> shuffle(Vector<T> items) {
        Vector<T> shuffled = items;
        SplitMix64 random = this;
        for (int i = shuffled.size() - 1; i > 0; i--) {
            random = random.next();
            int j = (int) random.below(i + 1);
            T swapped = shuffled.get(i);
            shuffled = shuffled.update(i, shuffled.get(j)).update(j, swapped);
        }
        return new Drawn<>(shuffled, random);
    }

    /**
     * Selects items at random, without replacement.
     *
     * @param <T> the type of the items
     * @param items the items
     * @param count the number of items to select; all items are selected if there are no more
     * @return the selected items, and the generator to use next
     */
    public <T> Drawn<T> sample(Vector<T> items, int count) {
        Drawn<T> drawn = shuffle(items);
        return new Drawn<>(drawn.items().take(count), drawn.random());
    }

    /**
     * The result of a random selection.
     *
     * @param <T> the type of the items
     * @param items the items
     * @param random the generator to use next
     */
    public record Drawn<T>(Vector<T> items, SplitMix64 random) {}
}
