package org.fuchsiadeck.core.request;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The combined result of the attempts of a request so far.
 *
 * @param attempts number of dispatches
 * @param failures failed attempts since a token was last delivered to the caller
 * @param exposed whether an ended attempt may have run
 * @param delivered number of tokens delivered to the caller
 * @param version version of the server whose answer is being forwarded; the rest must come from the
 *     same version
 * @param failedAt servers at which an attempt failed since a token was last delivered
 * @param next cause of the next dispatch
 * @param runs number of ended attempts that may have run
 * @param errorOf number of the attempt whose error answer is forwarded if no later attempt succeeds; 0 for none
 * @param moves number of attempts that were abandoned and may still be running
 * @param used whether it was reported that a server has begun the request
 */
public record AttemptHistory(
        int attempts,
        int failures,
        boolean exposed,
        int delivered,
        Option<String> version,
        Set<BackendId> failedAt,
        DispatchCause next,
        int runs,
        int errorOf,
        int moves,
        boolean used) {
    /** The history of a request that has not been dispatched. */
    public static final AttemptHistory NONE =
            new AttemptHistory(0, 0, false, 0, Option.none(), HashSet.empty(), DispatchCause.FRESH, 0, 0, 0, false);

    public AttemptHistory {
        requireNonNull(version, "version");
        requireNonNull(failedAt, "failedAt");
        requireNonNull(next, "next");
    }

    /**
     * Returns whether the relay of an answer to the caller has started.
     *
     * @return whether the caller may have received part of an answer
     */
    public boolean relayStarted() {
        return version.isDefined();
    }

    AttemptHistory withDispatch() {
        return new AttemptHistory(
                attempts + 1, failures, exposed, delivered, version, failedAt, next, runs, errorOf, moves, used);
    }

    AttemptHistory withRelay(Backend backend) {
        return new AttemptHistory(
                attempts,
                failures,
                exposed,
                delivered,
                Option.some(backend.version()),
                failedAt,
                next,
                runs,
                errorOf,
                moves,
                used);
    }

    /** Records delivered tokens, which resets the failures. */
    AttemptHistory withProgress(int tokens) {
        return tokens <= delivered
                ? this
                : new AttemptHistory(
                        attempts, 0, exposed, tokens, version, HashSet.empty(), next, runs, errorOf, moves, used);
    }

    AttemptHistory withFailure(BackendId at, boolean mayHaveRun, DispatchCause nextCause) {
        int updatedRuns = mayHaveRun ? runs + 1 : runs;
        return new AttemptHistory(
                attempts,
                failures + 1,
                exposed || mayHaveRun,
                delivered,
                version,
                failedAt.add(at),
                nextCause,
                updatedRuns,
                errorOf,
                moves,
                used);
    }

    AttemptHistory withErrorAnswer(int attempt) {
        return new AttemptHistory(
                attempts, failures, exposed, delivered, version, failedAt, next, runs, attempt, moves, used);
    }

    AttemptHistory withUsageReported() {
        return new AttemptHistory(
                attempts, failures, exposed, delivered, version, failedAt, next, runs, errorOf, moves, true);
    }

    /**
     * Returns whether one more server may run the request. Abandoned attempts count, since they may still be running.
     *
     * @param maxRuns greatest number of runs that the route allows; 0 for no limit
     * @return whether another run is allowed
     */
    boolean allowsAnotherRun(int maxRuns) {
        return maxRuns == 0 || runs + moves < maxRuns;
    }

    /** Records an attempt that is abandoned before the data path has reported its progress, so that it may have run. */
    AttemptHistory withAbandoned(DispatchCause nextCause) {
        return new AttemptHistory(
                attempts, failures, true, delivered, version, failedAt, nextCause, runs, errorOf, moves + 1, used);
    }
}
