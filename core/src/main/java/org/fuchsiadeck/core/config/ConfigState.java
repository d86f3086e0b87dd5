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
 * A node's configuration and the state of reading it from the key-value service and of exchanging it with peers.
 *
 * @param current the configuration in force
 * @param value the text that it was parsed from, as the key-value service holds it
 * @param origin where the configuration in force came from and when
 * @param candidate the newer revision being parsed, and the newest one that was rejected
 * @param reading the calls to the key-value service
 * @param exchange the messages with other entry nodes
 * @param startup the answers that decide when the node may serve callers
 * @param currency when the newest configuration was last known
 * @param check the last check whether the configuration is the newest
 * @param random the generator of the node's random choices
 * @param unready the reasons why the node must not serve callers yet, one sentence each; empty if it is ready
 */
public record ConfigState(
        Configuration current,
        String value,
        Origin origin,
        Candidate candidate,
        ReaderState reading,
        ExchangeState exchange,
        StartupProgress startup,
        Currency currency,
        CheckState check,
        SplitMix64 random,
        List<String> unready) {
    /**
     * Age of the knowledge that a configuration is the newest up to which requests are refused because of it. A newer one has
     * to be in force within twice this time.
     */
    public static final long MAX_REFUSAL_AGE_MS = 1_000;

    /** Longest time for which a request waits until its refusal is certain. */
    private static final long MAX_PROOF_WAIT_MS = 1_000;

    public ConfigState {
        requireNonNull(current, "current");
        requireNonNull(value, "value");
        requireNonNull(origin, "origin");
        requireNonNull(candidate, "candidate");
        requireNonNull(reading, "reading");
        requireNonNull(exchange, "exchange");
        requireNonNull(startup, "startup");
        requireNonNull(currency, "currency");
        requireNonNull(check, "check");
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
                new Candidate(0, 0, 0, 0),
                new ReaderState(0, Optional.empty(), OptionalLong.empty(), 0, 0, false),
                new ExchangeState(0, 0, 0),
                new StartupProgress(false, 0, false, 0, Map.of(), 0),
                Currency.NONE,
                CheckState.NONE,
                new SplitMix64(0),
                List.of("no configuration is known"));
    }

    /** Whether a request may be refused because of the configuration in force. */
    public enum Proof {
        /** The configuration was the newest shortly before the request arrived. */
        GIVEN,
        /** It will be known soon. */
        AWAITED,
        /** Neither the key-value service nor a peer can tell. */
        UNAVAILABLE
    }

    /**
     * Returns whether a request may be refused because of the configuration in force.
     *
     * @param arrivedMs when the request arrived, in monotonic milliseconds
     * @param nowMs the time, in monotonic milliseconds
     * @return the proof that the configuration is the newest
     */
    public Proof proofFor(long arrivedMs, long nowMs) {
        boolean recent = currency.provenMs() >= 0 && currency.provenMs() >= arrivedMs - MAX_REFUSAL_AGE_MS;
        boolean handled = currency.revision() <= newestHandledRevision();
        if (recent && handled) {
            return Proof.GIVEN;
        }
        boolean hopeless = !check.open() && check.failedLately(nowMs) || nowMs - arrivedMs >= MAX_PROOF_WAIT_MS;
        return hopeless ? Proof.UNAVAILABLE : Proof.AWAITED;
    }

    /** Returns the newest revision that is in force, was rejected or is older by its document. */
    long newestHandledRevision() {
        return Math.max(current.revision(), Math.max(candidate.rejected(), candidate.older()));
    }

    /**
     * Source of the configuration in force.
     *
     * @param source {@code platform}, or the id of the entry node that offered it; {@code none} if there is none yet
     * @param sinceMs when it came into force here, in monotonic milliseconds
     */
    public record Origin(String source, long sinceMs) {
        public Origin {
            requireNonNull(source, "source");
        }
    }

    /**
     * Revisions that are not in force: one being parsed and one that was rejected.
     *
     * @param parsing the revision being parsed; 0 for none
     * @param sinceMs when this record last changed: the start of parsing or the rejection, in monotonic milliseconds
     * @param rejected the newest revision that could not be parsed; 0 for none
     * @param older the newest revision whose document is older than the one in force; 0 for none
     */
    record Candidate(long parsing, long sinceMs, long rejected, long older) {}

    /**
     * Schedule and outcome of the calls to the platform's key-value service.
     *
     * @param sequence the number of the last call
     * @param call the call in progress
     * @param position the service revision after which to watch; empty if the key must be read first
     * @param nextMs when the next call is due, in monotonic milliseconds
     * @param failures failed calls in a row, up to a bound
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
     * A call to the key-value service in progress.
     *
     * @param tag the tag that comes back with the result
     * @param sentMs when the call was made, in monotonic milliseconds
     * @param deadlineMs when the call counts as failed, in monotonic milliseconds
     */
    record Call(String tag, long sentMs, long deadlineMs) {}

    /**
     * Schedule of the announcements to other entry nodes, and the last fetch from one.
     *
     * @param nextMs when the next announcement to a random peer is due, in monotonic milliseconds
     * @param fetching the revision last requested from a peer; 0 for none
     * @param fetchedMs when it was requested, in monotonic milliseconds
     */
    record ExchangeState(long nextMs, long fetching, long fetchedMs) {}

    /**
     * The last check whether the configuration in force is the newest.
     *
     * @param number the number of the check; 0 before the first one
     * @param startedMs when it began, in monotonic milliseconds
     * @param stage how far it has come
     * @param failedMs when a check last ended without an answer, in monotonic milliseconds; negative if none did
     * @param askers the peers that wait for its outcome, with the numbers of their own checks
     */
    record CheckState(long number, long startedMs, Stage stage, long failedMs, Map<NodeId, Long> askers) {
        static final CheckState NONE = new CheckState(0, 0, Stage.ENDED, -1, Map.of());

        /** Time after a failed check for which another one is not worth the wait. */
        private static final long RETRY_DELAY_MS = 500;

        /** Who was asked. */
        enum Stage {
            PARENT_ASKED,
            SERVICE_ASKED,
            ENDED
        }

        CheckState {
            askers = Map.copyOf(askers);
        }

        boolean open() {
            return stage != Stage.ENDED;
        }

        CheckState next(long nowMs) {
            return new CheckState(number + 1, nowMs, Stage.PARENT_ASKED, failedMs, askers);
        }

        CheckState with(Stage next) {
            return new CheckState(number, startedMs, next, failedMs, askers);
        }

        CheckState withAsker(NodeId peer, long peerNumber) {
            Map<NodeId, Long> more = new HashMap<>(askers);
            more.put(peer, peerNumber);
            return new CheckState(number, startedMs, stage, failedMs, more);
        }

        CheckState ended() {
            return new CheckState(number, startedMs, Stage.ENDED, failedMs, Map.of());
        }

        CheckState failed(long nowMs) {
            return new CheckState(number, startedMs, Stage.ENDED, nowMs, Map.of());
        }

        boolean failedLately(long nowMs) {
            return failedMs >= 0 && nowMs - failedMs < RETRY_DELAY_MS;
        }
    }

    /**
     * A configuration that a peer has in force.
     *
     * @param revision its revision; 0 for none
     * @param version the version of its document; 0 if it is not known
     */
    record Reported(long revision, long version) {
        boolean isNewerThan(Configuration configuration) {
            return Configuration.isNewer(revision, version, configuration.revision(), configuration.version());
        }

        Reported newer(Reported other) {
            return Configuration.isNewer(other.revision, other.version, revision, version) ? other : this;
        }
    }

    /**
     * Answers of the key-value service and of peers that a starting node needs before it serves callers.
     *
     * @param done whether the node has been ready; it stays so
     * @param sinceMs when the node started, in monotonic milliseconds
     * @param platformHeard whether the key-value service has answered a read
     * @param platformRevision the newest revision that the key-value service returned; 0 for none
     * @param heard the newest configuration reported by each peer; empty once the node is ready
     * @param nextQueryMs when the next queries to peers are due, in monotonic milliseconds
     */
    record StartupProgress(
            boolean done,
            long sinceMs,
            boolean platformHeard,
            long platformRevision,
            Map<NodeId, Reported> heard,
            long nextQueryMs) {
        StartupProgress {
            heard = Map.copyOf(heard);
        }

        StartupProgress withPlatformRevision(long revision) {
            return new StartupProgress(done, sinceMs, true, Math.max(platformRevision, revision), heard, nextQueryMs);
        }

        StartupProgress withReport(NodeId peer, Reported report) {
            Map<NodeId, Reported> reports = new HashMap<>(heard);
            reports.merge(peer, report, Reported::newer);
            return new StartupProgress(done, sinceMs, platformHeard, platformRevision, reports, nextQueryMs);
        }

        StartupProgress withNextQueryMs(long ms) {
            return new StartupProgress(done, sinceMs, platformHeard, platformRevision, heard, ms);
        }

        StartupProgress withDone() {
            return new StartupProgress(true, sinceMs, platformHeard, platformRevision, Map.of(), nextQueryMs);
        }
    }
}
