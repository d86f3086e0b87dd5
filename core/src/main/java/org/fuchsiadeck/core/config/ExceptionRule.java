package org.fuchsiadeck.core.config;

import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A rule that overrides some policy defaults for the subjects that match it, optionally until a given time.
 *
 * @param reason the operators' reason for the exception
 * @param match the components that a subject must have, by name: any of {@code zone}, {@code service}, {@code version},
 *     {@code backend}, {@code route}, {@code team}; all of them must match, and an empty map matches every subject
 * @param set the values that replace the defaults, by their names in a configuration file
 * @param expiresWallMs when the exception expires, in milliseconds since 1970; empty for never
 */
public record ExceptionRule(
        String reason, Map<String, String> match, Map<String, Long> set, OptionalLong expiresWallMs) {
    public ExceptionRule {
        Checks.notBlank(reason, "reason");
        match = Map.copyOf(match);
        set = Map.copyOf(set);
        requireNonNull(expiresWallMs, "expiresWallMs");
        match.forEach((key, value) -> checkMatch(key, value));
        Policy.DEFAULT.withValues(set);
    }

    /**
     * Returns whether a subject matches, regardless of expiry.
     *
     * @param subject the subject
     * @return whether the subject has all the components that the rule names
     */
    public boolean matches(Subject subject) {
        for (Map.Entry<String, String> expected : match.entrySet()) {
            if (!expected.getValue().equals(subject.get(expected.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the exception has expired.
     *
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return whether it has expired and no longer applies
     */
    public boolean isExpired(long wallMs) {
        return expiresWallMs.isPresent() && wallMs >= expiresWallMs.getAsLong();
    }

    private static void checkMatch(String key, String value) {
        if (!Subject.KEYS.contains(key)) {
            throw new IllegalArgumentException("match must name one of " + Subject.KEYS + ", was " + key);
        }
        Checks.notBlank(value, key);
    }
}
