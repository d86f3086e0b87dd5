package org.fuchsiadeck.core.config;

import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * What the operators ask of all callers.
 *
 * @param keysRequired whether callers have to show a key, except on open routes
 * @param keys the teams that hold the keys
 * @param limits how much and how slowly a caller may send
 */
public record CallerRules(boolean keysRequired, Map<String, TeamId> keys, Limits limits) {
    /** No keys, and only the node's own limits. */
    public static final CallerRules NONE = new CallerRules(false, Map.of(), Limits.NONE);

    public CallerRules {
        keys = Map.copyOf(keys);
        requireNonNull(limits, "limits");
    }

    /**
     * Bounds on what a caller may send. 0 leaves a bound to the node's settings.
     *
     * @param maxHeaderBytes the largest request head, in bytes
     * @param maxBodyBytes the largest request body, in bytes
     * @param slowSenderTimeoutMs how long a caller may take for a request's head, in milliseconds
     * @param idleTimeoutMs how long a connection may stay without a request, in milliseconds
     */
    public record Limits(int maxHeaderBytes, long maxBodyBytes, long slowSenderTimeoutMs, long idleTimeoutMs) {
        /** No bounds beyond the node's settings. */
        public static final Limits NONE = new Limits(0, 0, 0, 0);

        public Limits {
            Checks.inRange(maxHeaderBytes, 0, Integer.MAX_VALUE, "maxHeaderBytes");
            Checks.inRange(maxBodyBytes, 0, Long.MAX_VALUE, "maxBodyBytes");
            Checks.inRange(slowSenderTimeoutMs, 0, Long.MAX_VALUE, "slowSenderTimeoutMs");
            Checks.inRange(idleTimeoutMs, 0, Long.MAX_VALUE, "idleTimeoutMs");
        }
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key a caller shows
     * @return the team; empty for an unknown key
     */
    public Optional<TeamId> findTeam(String key) {
        return Optional.ofNullable(keys.get(key));
    }
}
