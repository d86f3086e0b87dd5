package org.fuchsiadeck.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.SplitMix64;

import static java.util.Objects.requireNonNull;

/**
 * What a node knows of the configuration.
 *
 * @param current the configuration in force
 * @param value the value of the platform's service that it was read from
 * @param origin where it came from and when
 * @param candidate the newer configuration being read, and the newest that could not be read
 * @param reading the calls to the platform's service
 * @param exchange the messages with other entry nodes
 * @param startup what a node must hear before it serves callers
 * @param random the generator of the node's random choices
 * @param unready why the node must not serve callers yet, one sentence for each reason; empty if the node is ready
 */
public record ConfigState(
        Configuration current,
        String value,
        Origin origin,
        Candidate candidate,
        ReaderState reading,
        ExchangeState exchange,
        StartupProgress startup,
        SplitMix64 random,
        List<String> unready) {
    public ConfigState {
        requireNonNull(current, "current");
        requireNonNull(value, "value");
        requireNonNull(origin, "origin");
        requireNonNull(candidate, "candidate");
        requireNonNull(reading, "reading");
        requireNonNull(exchange, "exchange");
        requireNonNull(startup, "startup");
        requireNonNull(random, "random");
        unready = List.copyOf(unready);
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static ConfigState initial() {
        return new ConfigState(
                Configuration.NONE,
                "",
                new Origin("none", 0),
                new Candidate(0, 0, 0),
                new ReaderState(0, Optional.empty(), OptionalLong.empty(), 0, 0, false),
                new ExchangeState(0, 0, 0),
                new StartupProgress(false, 0, false, 0, Map.of(), 0),
                new SplitMix64(0),
                List.of("no configuration is known"));
    }

    /**
     * Where the configuration in force came from.
     *
     * @param source {@code platform}, or the entry node that offered it; {@code none} before the first
     * @param sinceMs when it came into force here, in monotonic milliseconds
     */
    public record Origin(String source, long sinceMs) {
        public Origin {
            requireNonNull(source, "source");
        }
    }

    /**
     * Configurations not in force.
     *
     * @param parsing the revision being read; 0 for none
     * @param sinceMs when the reading began, in monotonic milliseconds
     * @param rejected the newest revision that could not be read; 0 for none
     */
    record Candidate(long parsing, long sinceMs, long rejected) {}

    /**
     * The calls to the platform's service.
     *
     * @param sequence the number of the last call
     * @param call the call in progress
     * @param position the revision to watch after; empty if the key must be read first
     * @param nextMs when the next call is due, in monotonic milliseconds
     * @param failures calls that failed since the last one that did not
     * @param unavailable whether the service was logged as unavailable
     */
    record ReaderState(
            long sequence,
            Optional<Call> call,
            OptionalLong position,
            long nextMs,
            int failures,
            boolean unavailable) {}

    /**
     * A call in progress.
     *
     * @param tag the tag that comes back with the result
     * @param sentMs when the call was made, in monotonic milliseconds
     * @param deadlineMs when the call is given up, in monotonic milliseconds
     */
    record Call(String tag, long sentMs, long deadlineMs) {}

    /**
     * The messages with other entry nodes.
     *
     * @param nextMs when the next announcement to a random peer is due, in monotonic milliseconds
     * @param fetching the revision last asked for
     * @param fetchedMs when it was asked for, in monotonic milliseconds
     */
    record ExchangeState(long nextMs, long fetching, long fetchedMs) {}

    /**
     * What a node must hear before it serves callers.
     *
     * @param done whether the node has been ready; it stays so
     * @param sinceMs when the node started, in monotonic milliseconds
     * @param platformHeard whether the platform's service has answered a read
     * @param platformRevision the newest revision that the platform's service gave; 0 for none
     * @param heard the newest revision that each peer has named
     * @param nextQueryMs when the peers are asked again, in monotonic milliseconds
     */
    record StartupProgress(
            boolean done,
            long sinceMs,
            boolean platformHeard,
            long platformRevision,
            Map<NodeId, Long> heard,
            long nextQueryMs) {
        StartupProgress {
            heard = Map.copyOf(heard);
        }

        StartupProgress withPlatformRevision(long revision) {
            return new StartupProgress(done, sinceMs, true, Math.max(platformRevision, revision), heard, nextQueryMs);
        }

        StartupProgress withPeerRevision(NodeId peer, long revision) {
            Map<NodeId, Long> all = new HashMap<>(heard);
            all.merge(peer, revision, Math::max);
            return new StartupProgress(done, sinceMs, platformHeard, platformRevision, all, nextQueryMs);
        }

        StartupProgress withNextQueryMs(long ms) {
            return new StartupProgress(done, sinceMs, platformHeard, platformRevision, heard, ms);
        }

        StartupProgress withDone() {
            return new StartupProgress(true, sinceMs, platformHeard, platformRevision, Map.of(), nextQueryMs);
        }
    }
}
