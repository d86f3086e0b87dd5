package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

import static java.util.Objects.requireNonNull;

/**
 * The fact that a version was found bad. It is never taken back; only a rollout of the same version with a greater
 * number passes it.
 *
 * @param version the version
 * @param number the rollout in which it was found bad
 * @param reason what was found, with the figures
 */
public record Condemnation(ServiceVersion version, long number, String reason) {
    public Condemnation {
        requireNonNull(version, "version");
        Checks.inRange(number, 1, Long.MAX_VALUE, "number");
        requireNonNull(reason, "reason");
    }

    /**
     * Merges two condemnations of one version.
     *
     * @param a one of them
     * @param b the other
     * @return the one that reaches further; the same whatever the order
     */
    static Condemnation merge(Condemnation a, Condemnation b) {
        if (a.number != b.number) {
            return a.number > b.number ? a : b;
        }
        return a.reason.compareTo(b.reason) <= 0 ? a : b;
    }
}
