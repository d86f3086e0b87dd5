package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.OptionalInt;

import static java.util.Objects.requireNonNull;

/**
 * Where a value in force for a subject comes from.
 *
 * @param field which value
 * @param effectiveValue what it is, in the value's unit
 * @param exceptionNumber the number of the exception that gives it, from 1 in the order of the configuration; empty for the
 *     defaults
 * @param reason the reason of that exception; empty text for the defaults
 * @param overridden the numbers of exceptions that match and set it, but come before the one in force
 * @param expired the numbers of exceptions that match and set it, but have expired
 */
public record Explanation(
        PolicyField field,
        long effectiveValue,
        OptionalInt exceptionNumber,
        String reason,
        List<Integer> overridden,
        List<Integer> expired) {
    public Explanation {
        requireNonNull(field, "value");
        requireNonNull(exceptionNumber, "exception");
        requireNonNull(reason, "reason");
        overridden = List.copyOf(overridden);
        expired = List.copyOf(expired);
    }
}
