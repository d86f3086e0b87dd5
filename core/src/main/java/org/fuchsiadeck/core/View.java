package org.fuchsiadeck.core;

import java.util.Map;
import java.util.OptionalDouble;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;
import org.fuchsiadeck.core.speed.ServerTimes;

import static java.util.Objects.requireNonNull;

/**
 * The time, and the parts of a node's state that a reducer may read besides its own state.
 *
 * @param self the node's identity
 * @param nowMs the monotonic time of the event, in milliseconds; never decreases
 * @param wallMs the wall-clock time of the event, in milliseconds since 1970; may jump
 * @param config the configuration in force
 * @param shares the versions that may receive traffic, and their shares
 * @param peers the entry nodes known to be alive
 * @param usage the usage of all nodes together
 * @param work the work in progress on this node
 * @param quarantine the prompt parts whose requests are rejected
 */
public record View(
        Identity self,
        long nowMs,
        long wallMs,
        Configuration config,
        VersionShares shares,
        Peers peers,
        ShareState usage,
        Work work,
        QuarantineState quarantine) {
    public View {
        requireNonNull(self, "self");
        requireNonNull(config, "config");
        requireNonNull(shares, "shares");
        requireNonNull(peers, "peers");
        requireNonNull(usage, "usage");
        requireNonNull(work, "work");
        requireNonNull(quarantine, "quarantine");
    }

    /**
     * Creates a view of a node whose limits are not shared with other nodes.
     *
     * @param self the node's identity
     * @param nowMs the monotonic time of the event, in milliseconds
     * @param wallMs the wall-clock time of the event, in milliseconds since 1970
     * @param config the configuration in force
     * @param shares the versions that may receive traffic, and their shares
     * @param peers the entry nodes known to be alive
     */
    public View(Identity self, long nowMs, long wallMs, Configuration config, VersionShares shares, Peers peers) {
        this(
                self,
                nowMs,
                wallMs,
                config,
                shares,
                peers,
                ShareState.initial(ShareRules.DEFAULT),
                Map::of,
                QuarantineState.initial());
    }

    /**
     * Returns the wall-clock time on which the nodes agree: the median of their clocks if they compare them, otherwise
     * this node's own.
     *
     * @return milliseconds since 1970
     */
    public long agreedWallMs() {
        return usage.offsetMs() == 0 ? wallMs : usage.medianWallMs(nowMs);
    }

    /** The work in progress on a node, and figures derived from it. */
    @FunctionalInterface
    public interface Work {
        /**
         * Returns the number of attempts in progress on each server.
         *
         * @return attempts by server, without servers that have none
         */
        Map<BackendId, Integer> inFlight();

        /**
         * Returns the number of prompt tokens of this node's attempts that each server has not processed yet.
         *
         * @return tokens by server, without servers that have none
         */
        default Map<BackendId, Integer> unreadTokens() {
            return Map.of();
        }

        /**
         * Returns the number of queued requests of each service whose capacity all nodes share.
         *
         * @return requests by service, without services that have none
         */
        default Map<String, Integer> waitingRequests() {
            return Map.of();
        }

        /**
         * Returns the mean time for which a request of a service occupies a server.
         *
         * @param service the service
         * @return the time, in milliseconds; empty until enough requests have been observed
         */
        default OptionalDouble meanRequestMs(String service) {
            return OptionalDouble.empty();
        }

        /**
         * Returns the sums of observed and expected times of this node's attempts, for services whose servers report a
         * slowdown.
         *
         * @param nowMs the time, in milliseconds
         * @return the sums by server
         */
        default Map<BackendId, ServerTimes> serverTimes(long nowMs) {
            return Map.of();
        }

        /**
         * Returns the learned speed of a server.
         *
         * @param id the server
         * @return the speed relative to the usual one of its service; 1 if not known
         */
        default double serverSpeed(BackendId id) {
            return 1;
        }

        /**
         * Returns the observed rate at which the servers of a service process prompts.
         *
         * @param service the service
         * @return tokens per millisecond; empty if not known
         */
        default OptionalDouble tokensPerMs(String service) {
            return OptionalDouble.empty();
        }

        /**
         * Returns the newest revisions in the platform's key-value service that this node has seen.
         *
         * @return revisions by key prefix
         */
        default Map<String, Long> newestRevisions() {
            return Map.of();
        }

        /**
         * Returns how long ago this node's knowledge of departed servers was last known to be the newest.
         *
         * @param nowMs the time, in milliseconds
         * @return the age, in milliseconds; 0 if the servers are not listed in the key-value service
         */
        default long serverListAgeMs(long nowMs) {
            return 0;
        }
    }
}
