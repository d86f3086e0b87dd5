package org.fuchsiadeck.core.config;

import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiadeck.core.model.Checks;

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
    }
}
