package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Event with the result and latency of an attempt, for the evaluation of backend servers and versions. Raised once for
 * each attempt of which a byte was written.
 *
 * @param route the name of the route
 * @param backend the server
 * @param verdict the result
 * @param firstByteMs time from dispatch to the first byte of the answer, in milliseconds; -1 without an answer
 * @param perTokenMs mean time between tokens, in milliseconds; -1 with fewer than two tokens
 * @param inFlightAtDispatch attempts of this node in progress at the server when this one was dispatched
 */
public record AttemptObserved(
        String route, Backend backend, Verdict verdict, long firstByteMs, double perTokenMs, int inFlightAtDispatch)
        implements Event {
    public AttemptObserved {
        Checks.notBlank(route, "route");
        requireNonNull(backend, "backend");
        requireNonNull(verdict, "verdict");
    }

    /** The result of an attempt. */
    public enum Verdict {
        /** A complete answer. */
        GOOD,
        /** An error answer, a timeout or a closed connection. */
        FAILED,
        /** An answer that was malformed, truncated or of another request. */
        CORRUPT,
        /** Ended for a reason unrelated to the version: the caller disconnected, or the server was reclaimed. */
        NEUTRAL
    }
}
