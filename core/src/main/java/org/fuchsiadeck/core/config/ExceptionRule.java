package org.fuchsiadeck.core.config;

import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A departure from the defaults for some subjects, with its reason.
 *
 * @param reason why the exception is there
 * @param match what a subject must be: any of {@code zone}, {@code service}, {@code version}, {@code backend},
 *     {@code route}, {@code team}; all that are named must match
 * @param set the values that change, by the name a configuration file uses
 * @param expiresWallMs when the exception ends, in milliseconds since 1970; empty for never
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
     * Tells whether a subject is meant, whatever the time.
     *
     * @param subject the subject
     * @return whether it is all that the rule names
     */
    public boolean matches(Subject subject) {
        for (Map.Entry<String, String> want : match.entrySet()) {
            if (!want.getValue().equals(subject.get(want.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether the exception has ended.
     *
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return whether it no longer applies
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
