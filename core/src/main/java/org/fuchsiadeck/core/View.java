package org.fuchsiadeck.core;

import java.util.Map;
import java.util.OptionalDouble;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;

import static java.util.Objects.requireNonNull;

/**
 * What a concern may read besides its own state.
 *
 * @param self the node's identity
 * @param nowMs the monotonic time of the event, in milliseconds; never goes back
 * @param wallMs the wall-clock time of the event, in milliseconds since 1970; may jump
 * @param config the configuration in force
 * @param shares which versions may take traffic
 * @param peers the entry nodes known to be alive
 * @param usage what all nodes together have spent
 * @param work what this node has in progress
 */
public record View(
        Identity self,
        long nowMs,
        long wallMs,
        Configuration config,
        VersionShares shares,
        Peers peers,
        ShareState usage,
        Work work) {
    public View {
        requireNonNull(self, "self");
        requireNonNull(config, "config");
        requireNonNull(shares, "shares");
        requireNonNull(peers, "peers");
        requireNonNull(usage, "use");
        requireNonNull(work, "work");
    }

    /**
     * Makes a view of a node that shares no limits with others.
     *
     * @param self the node's identity
     * @param nowMs the monotonic time of the event, in milliseconds
     * @param wallMs the wall-clock time of the event, in milliseconds since 1970
     * @param config the configuration in force
     * @param shares which versions may take traffic
     * @param peers the entry nodes known to be alive
     */
    public View(Identity self, long nowMs, long wallMs, Configuration config, VersionShares shares, Peers peers) {
        this(self, nowMs, wallMs, config, shares, peers, ShareState.initial(ShareRules.DEFAULT), Map::of);
    }

    /**
     * Returns the time of day as most nodes see it, where nodes compare their clocks; this node's own otherwise.
     *
     * @return milliseconds since 1970
     */
    public long agreedWallMs() {
        return usage.offsetMs() == 0 ? wallMs : usage.medianWallMs(nowMs);
    }

    /** What a node has in progress, and what it knows by it. */
    @FunctionalInterface
    public interface Work {
        /**
         * Counts the attempts in progress.
         *
         * @return attempts by server, without servers that have none
         */
        Map<BackendId, Integer> inFlight();

        /**
         * Counts the prompt tokens that servers have still to read for this node.
         *
         * @return tokens by server, without servers that have none
         */
        default Map<BackendId, Integer> unreadTokens() {
            return Map.of();
        }

        /**
         * Returns the time that a request of a service takes from a server on average.
         *
         * @param service the service
         * @return the time, in milliseconds; empty before enough requests were seen
         */
        default OptionalDouble meanRequestMs(String service) {
            return OptionalDouble.empty();
        }

        /**
         * Returns the newest changes in the platform's service that this node has seen.
         *
         * @return revisions, by the prefix of the keys that changed
         */
        default Map<String, Long> newestRevisions() {
            return Map.of();
        }
    }
}
