package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.OptionalInt;

import static java.util.Objects.requireNonNull;

/**
 * The effective value of one policy field for a subject, and the exception or default that it comes from.
 *
 * @param field the policy field
 * @param effectiveValue the value, in the field's unit
 * @param exceptionNumber the number of the exception that sets the value, from 1 in the order of the configuration;
 *     empty if it is the default
 * @param reason the reason of that exception; empty text for a default
 * @param overridden the numbers of the matching exceptions that set the field but come before that one
 * @param expired the numbers of the matching exceptions that set the field but have expired
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
