package org.fuchsiadeck.core.routing;

import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * What a node knows of one backend server.
 *
 * @param backend the server as last listed
 * @param listed whether it was on the last list
 * @param inFlight this node's attempts in progress there
 * @param unread prompt tokens that it has still to read for this node
 * @param limit how many there may be
 * @param health whether it is suspected
 * @param load the work of others there
 * @param lastFailure what failed there since it last answered; empty if nothing did
 * @param pausedUntilMs until when it asked to be sent nothing, in milliseconds; any time past if it did not
 */
public record Server(
        Backend backend,
        boolean listed,
        int inFlight,
        int unread,
        ConcurrencyLimit limit,
        Health health,
        ReportedLoad load,
        String lastFailure,
        long pausedUntilMs) {
    public Server {
        requireNonNull(backend, "backend");
        requireNonNull(limit, "limit");
        requireNonNull(health, "health");
        requireNonNull(load, "load");
        requireNonNull(lastFailure, "lastFailure");
    }

    /**
     * Returns a server that has just been listed.
     *
     * @param backend the server
     * @param max the greatest concurrency allowed
     * @return what is known of it
     */
    static Server fresh(Backend backend, int max) {
        ConcurrencyLimit limit = ConcurrencyLimit.start(backend.slots(), max);
        return new Server(backend, true, 0, 0, limit, Health.GOOD, ReportedLoad.NONE, "", Long.MIN_VALUE);
    }

    /**
     * Estimates how full the server is: this node's attempts, and what others had there when it last reported.
     *
     * @param nowMs the time, in milliseconds
     * @return requests for each slot
     */
    public double loadAt(long nowMs) {
        return (inFlight + load.estimate(nowMs)) / backend.slots();
    }

    Server listed(Backend now) {
        return new Server(now, true, inFlight, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    Server unlisted() {
        return new Server(backend, false, inFlight, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    Server reported(ReportedLoad next) {
        return new Server(backend, listed, inFlight, unread, limit, health, next, lastFailure, pausedUntilMs);
    }

    /**
     * Changes how many attempts are in progress.
     *
     * @param change the number to add
     * @return the server with the new number
     */
    public Server attempts(int change) {
        return new Server(backend, listed, inFlight + change, unread, limit, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Changes how many prompt tokens it has still to read.
     *
     * @param change the number to add
     * @return the server with the new number
     */
    public Server reading(int change) {
        return new Server(backend, listed, inFlight, unread + change, limit, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Changes how many attempts there may be.
     *
     * @param next the new limit
     * @return the server with the limit
     */
    public Server with(ConcurrencyLimit next) {
        return new Server(backend, listed, inFlight, unread, next, health, load, lastFailure, pausedUntilMs);
    }

    /**
     * Changes whether the server is suspected.
     *
     * @param next the new health
     * @return the server with the health
     */
    public Server with(Health next) {
        String failure = next.clean() ? "" : lastFailure;
        return new Server(backend, listed, inFlight, unread, limit, next, load, failure, pausedUntilMs);
    }

    /**
     * Takes into account that the server asked to be sent nothing. It is let back with half of what it had in progress.
     *
     * @param untilMs the end of the pause, in milliseconds
     * @return the paused server
     */
    public Server paused(long untilMs) {
        ConcurrencyLimit half = limit.cappedAt(inFlight / 2);
        return new Server(
                backend, listed, inFlight, unread, half, health, load, lastFailure, Math.max(pausedUntilMs, untilMs));
    }

    /**
     * Notes a failure that speaks against the server.
     *
     * @param failure what was seen
     * @return the server with the failure
     */
    public Server failed(String failure) {
        return new Server(backend, listed, inFlight, unread, limit, health, load, failure, pausedUntilMs);
    }
}
