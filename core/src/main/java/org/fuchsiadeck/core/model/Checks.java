package org.fuchsiadeck.core.model;

/**
 * Argument checks whose error messages name the expected and, for numbers, the actual value.
 */
public final class Checks {
    private Checks() {}

    /**
     * Checks that a text contains a character that is not white space.
     *
     * @param value the text
     * @param name the name of the value, for the message
     * @return the text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public static String notBlank(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return value;
    }

    /**
     * Checks that a number is finite and not negative.
     *
     * @param value the number
     * @param name the name of the value, for the message
     * @return the number
     * @throws IllegalArgumentException if the number is infinite, negative or not a number
     */
    public static double finiteNotNegative(double value, String name) {
        if (!Double.isFinite(value) || value < 0) {
            throw new IllegalArgumentException(name + " must be a finite number from 0, was " + value);
        }
        return value;
    }

    /**
     * Checks that a number is in a range.
     *
     * @param value the number
     * @param min the minimum, inclusive
     * @param max the maximum, inclusive
     * @param name the name of the value, for the message
     * @return the number
     * @throws IllegalArgumentException if the number is outside the range
     */
    public static long inRange(long value, long min, long max, String name) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be from " + min + " to " + max + ", was " + value);
        }
        return value;
    }
}
