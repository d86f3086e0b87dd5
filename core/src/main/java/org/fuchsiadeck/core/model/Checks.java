package org.fuchsiadeck.core.model;

/**
 * Checks of arguments that say what was expected and what came.
 */
public final class Checks {
    private Checks() {}

    /**
     * Checks that a text has visible characters.
     *
     * @param value the text
     * @param name what the text is, for the message
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
     * Checks that a number lies in a range, bounds included.
     *
     * @param value the number
     * @param min the least value allowed
     * @param max the greatest value allowed
     * @param name what the number is, for the message
     * @return the number
     * @throws IllegalArgumentException if the number is out of the range
     */
    public static long inRange(long value, long min, long max, String name) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be from " + min + " to " + max + ", was " + value);
        }
        return value;
    }
}
