package org.fuchsiadeck.core.request;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * What has come of a request so far.
 *
 * @param attempts dispatches so far
 * @param failures failed attempts since the last token passed on
 * @param exposed whether an attempt that ended may have run
 * @param delivered tokens passed on to the caller
 * @param version the version whose answer was begun to be passed on; the rest must come from the same
 * @param failedAt servers at which an attempt failed
 * @param next why the next dispatch is made
 * @param runs attempts that ended and may have run
 * @param errorOf the attempt whose answer, an error of the backend server, is passed on if nothing better comes; 0 for
 *     none
 * @param moves attempts that were given up for another server while they may still have run
 * @param used whether it counts as used: a server has begun it
 */
public record AttemptHistory(
        int attempts,
        int failures,
        boolean exposed,
        int delivered,
        Option<String> version,
        Set<BackendId> failedAt,
        Cause next,
        int runs,
        int errorOf,
        int moves,
        boolean used) {
    /** Nothing has come yet. */
    public static final AttemptHistory NONE =
            new AttemptHistory(0, 0, false, 0, Option.none(), HashSet.empty(), Cause.FRESH, 0, 0, 0, false);

    public AttemptHistory {
        requireNonNull(version, "version");
        requireNonNull(failedAt, "failedAt");
        requireNonNull(next, "next");
    }

    /**
     * Tells whether an answer has begun to be passed on.
     *
     * @return whether the caller has part of an answer
     */
    public boolean relayStarted() {
        return version.isDefined();
    }

    AttemptHistory dispatched() {
        return new AttemptHistory(
                attempts + 1, failures, exposed, delivered, version, failedAt, next, runs, errorOf, moves, used);
    }

    AttemptHistory relayed(Backend backend) {
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

    AttemptHistory progressed(int tokens) {
        return tokens <= delivered
                ? this
                : new AttemptHistory(
                        attempts, 0, exposed, tokens, version, HashSet.empty(), next, runs, errorOf, moves, used);
    }

    AttemptHistory failed(BackendId at, boolean mayHaveRun, Cause then) {
        int ran = mayHaveRun ? runs + 1 : runs;
        return new AttemptHistory(
                attempts,
                failures + 1,
                exposed || mayHaveRun,
                delivered,
                version,
                failedAt.add(at),
                then,
                ran,
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
     * Tells whether one more server may run the request. Servers that it was moved from count: they may still be running.
     *
     * @param most the most servers that the route allows; 0 for any number
     * @return whether there is one left
     */
    boolean allowsAnotherRun(int most) {
        return most == 0 || runs + moves < most;
    }

    /** An attempt given up before the data path told how far it came may have run. */
    AttemptHistory abandoned(Cause then) {
        return new AttemptHistory(
                attempts, failures, true, delivered, version, failedAt, then, runs, errorOf, moves + 1, used);
    }
}
