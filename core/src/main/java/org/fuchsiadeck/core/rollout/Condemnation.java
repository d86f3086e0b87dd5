package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

import static java.util.Objects.requireNonNull;

/**
 * Permanent finding that a version is bad. Only a rollout of the same version with a greater number supersedes it.
 *
 * @param version the version
 * @param number the rollout in which it was found bad
 * @param reason the reason, with the figures
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
     * @return the one with the greater rollout number; the result does not depend on the order
     */
    static Condemnation merge(Condemnation a, Condemnation b) {
        if (a.number != b.number) {
            return a.number > b.number ? a : b;
        }
        return a.reason.compareTo(b.reason) <= 0 ? a : b;
    }
}
