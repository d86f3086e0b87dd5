package org.fuchsiadeck.core.routing;

import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * The state of one backend server as this node knows it: listing, attempts in progress, concurrency limit, health and
 * load.
 *
 * @param backend the server as it was in the last list
 * @param listed whether the server is on the current list
 * @param inFlight this node's attempts in progress at the server
 * @param unread prompt tokens that the server has yet to process for this node
 * @param limit the concurrency limit for attempts of this node
 * @param health the failures of the server, and whether it is suspected to be down
 * @param load the server's load that is not this node's
 * @param lastFailure the last failure since the server last answered; empty if there was none
 * @param pausedUntilMs end of the pause that the server asked for, in milliseconds; {@link Long#MIN_VALUE} if it never
 *     asked for one
 */
public record BackendStatus(
        Backend backend,
        boolean listed,
        int inFlight,
        int unread,
        ConcurrencyLimit limit,
        Health health,
        ReportedLoad load,
        String lastFailure,
        long pausedUntilMs) {
    public BackendStatus {
        requireNonNull(backend, "backend");
        requireNonNull(limit, "limit");
        requireNonNull(health, "health");
        requireNonNull(load, "load");
        requireNonNull(lastFailure, "lastFailure");
    }

    /**
     * Creates the initial status of a newly listed server.
     *
     * @param backend the server
     * @param maxConcurrency the maximum concurrency allowed
     * @return the status
     */
    static BackendStatus initial(Backend backend, int maxConcurrency) {
        ConcurrencyLimit limit = ConcurrencyLimit.start(backend.slots(), maxConcurrency);
        return new BackendStatus(backend, true, 0, 0, limit, Health.GOOD, ReportedLoad.NONE, "", Long.MIN_VALUE);
    }

    /**
     * Estimates the utilization of the server from this node's attempts and the load in the server's last report.
     *
     * @param nowMs the time, in milliseconds
     * @return the requests per slot
     */
    public double loadAt(long nowMs) {
        return (inFlight + load.estimate(nowMs)) / backend.slots();
    }

    BackendStatus listed(Backend current) {
        return new BackendStatus(current, true, inFlight, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    BackendStatus unlisted() {
        return new BackendStatus(backend, false, inFlight, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    BackendStatus withLoad(ReportedLoad newLoad) {
        return new BackendStatus(backend, listed, inFlight, unread, limit, health, newLoad, lastFailure, pausedUntilMs);
    }

    /**
     * Adds to the number of attempts in progress.
     *
     * @param delta the number to add; negative to subtract
     * @return the status with the new number
     */
    public BackendStatus plusAttempts(int delta) {
        return new BackendStatus(
                backend, listed, inFlight + delta, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Adds to the number of prompt tokens that the server has yet to process.
     *
     * @param delta the number to add; negative to subtract
     * @return the status with the new number
     */
    public BackendStatus plusUnread(int delta) {
        return new BackendStatus(
                backend, listed, inFlight, unread + delta, limit, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Replaces the concurrency limit.
     *
     * @param newLimit the new limit
     * @return the status with the limit
     */
    public BackendStatus with(ConcurrencyLimit newLimit) {
        return new BackendStatus(backend, listed, inFlight, unread, newLimit, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Replaces the health. The last failure is cleared if the new health is clean.
     *
     * @param newHealth the new health
     * @return the status with the health
     */
    public BackendStatus with(Health newHealth) {
        String failure = newHealth.isClean() ? "" : lastFailure;
        return new BackendStatus(backend, listed, inFlight, unread, limit, newHealth, load, failure, pausedUntilMs);
    }

    /**
     * Records that the server asked for a pause. After the pause it receives at most half as many attempts at first as
     * were in progress.
     *
     * @param untilMs the end of the pause, in milliseconds
     * @return the status with the pause
     */
    public BackendStatus withPause(long untilMs) {
        ConcurrencyLimit half = limit.cappedAt(inFlight / 2);
        return new BackendStatus(
                backend, listed, inFlight, unread, half, health, load, lastFailure, Math.max(pausedUntilMs, untilMs));
    }

    /**
     * Records a failure of the server.
     *
     * @param failure the description of the failure
     * @return the status with the failure
     */
    public BackendStatus withFailure(String failure) {
        return new BackendStatus(backend, listed, inFlight, unread, limit, health, load, failure, pausedUntilMs);
    }
}
