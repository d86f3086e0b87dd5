package org.fuchsiadeck.core.membership;

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

    SplitMix64 next() {
        return new SplitMix64(state + GAMMA);
    }

    int below(int bound) {
        return (int) Long.remainderUnsigned(mix(state), bound);
    }

    <T> Drawn<T> shuffle(Vector<T> items) {
        Vector<T> out = items;
        SplitMix64 random = this;
        for (int i = out.size() - 1; i > 0; i--) {
            random = random.next();
            int j = random.below(i + 1);
            T swap = out.get(i);
            out = out.update(i, out.get(j)).update(j, swap);
        }
        return new Drawn<>(out, random);
    }

    <T> Drawn<T> sample(Vector<T> items, int count) {
        Drawn<T> drawn = shuffle(items);
        return new Drawn<>(drawn.items().take(count), drawn.random());
    }

    record Drawn<T>(Vector<T> items, SplitMix64 random) {}
}
