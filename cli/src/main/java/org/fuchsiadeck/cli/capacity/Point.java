package org.fuchsiadeck.cli.capacity;

import static java.util.Objects.requireNonNull;

/**
 * A figure measured at one size.
 *
 * @param item what was measured
 * @param per what the size counts
 * @param size the size
 * @param unit the unit of the figures
 * @param median the median of the repetitions
 * @param min the least
 * @param max the greatest
 */
record Point(String item, String per, int size, String unit, double median, double min, double max) {
    Point {
        requireNonNull(item, "item");
        requireNonNull(per, "per");
        requireNonNull(unit, "unit");
    }

    /** Makes a point of a figure that does not vary, such as the length of a message. */
    static Point exact(String item, String per, int size, String unit, double value) {
        return new Point(item, per, size, unit, value, value, value);
    }
}
