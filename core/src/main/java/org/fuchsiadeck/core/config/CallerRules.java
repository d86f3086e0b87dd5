package org.fuchsiadeck.core.config;

import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * Rules for all callers of the fleet: the keys they authenticate with and the limits on their requests.
 *
 * @param keysRequired whether callers must send a key, except on open routes
 * @param keys the team of each key
 * @param limits bounds on the size and the duration of what a caller sends
 */
public record CallerRules(boolean keysRequired, Map<String, TeamId> keys, Limits limits) {
    /** Requires no keys and sets no limits beyond the node's settings. */
    public static final CallerRules NONE = new CallerRules(false, Map.of(), Limits.NONE);

    public CallerRules {
        keys = Map.copyOf(keys);
        requireNonNull(limits, "limits");
    }

    /**
     * Bounds on the size and the duration of what a caller sends. 0 leaves a bound to the node's settings.
     *
     * @param maxHeaderBytes the largest request head, in bytes
     * @param maxBodyBytes the largest request body, in bytes
     * @param slowSenderTimeoutMs the longest time for receiving a request head, in milliseconds
     * @param idleTimeoutMs the longest time a connection may stay open without a request, in milliseconds
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
     * @param key the key that a caller sent
     * @return the team; empty for an unknown key
     */
    public Optional<TeamId> findTeam(String key) {
        return Optional.ofNullable(keys.get(key));
    }
}
