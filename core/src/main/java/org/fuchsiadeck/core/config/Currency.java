package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;

/**
 * How recently a node knew which configuration is the newest, from answers of the platform's key-value service.
 *
 * @param revision the newest revision that the service is known to have held
 * @param provenMs when the service held nothing newer, in monotonic milliseconds; negative if that was never known
 */
public record Currency(long revision, long provenMs) {
    /** What a node knows before the first answer. */
    static final Currency NONE = new Currency(0, -1);

    public Currency {
        Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
    }

    /**
     * Returns how long ago the newest configuration was known.
     *
     * @param nowMs the time, in monotonic milliseconds
     * @return the age, in milliseconds; the time since the node's start if it never was
     */
    public long ageMs(long nowMs) {
        return Math.max(0, nowMs - Math.max(0, provenMs));
    }

    /**
     * Adds an answer. It may be older than what is known, as answers overtake each other.
     *
     * @param newest the newest revision that the answer names
     * @param askedMs when the question was sent, in monotonic milliseconds: the answer was given later
     */
    Currency withAnswer(long newest, long askedMs) {
        return new Currency(Math.max(revision, newest), Math.max(provenMs, askedMs));
    }
}
