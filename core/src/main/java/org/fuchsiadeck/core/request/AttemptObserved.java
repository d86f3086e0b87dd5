package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * How an attempt went, for those who judge backend servers and versions. Raised once for each attempt that was written.
 *
 * @param route the route's name
 * @param backend the server
 * @param verdict how it ended
 * @param firstByteMs from dispatch to the first byte of the answer, in milliseconds; -1 if none came
 * @param perTokenMs time between tokens on average, in milliseconds; -1 if no two tokens came
 * @param inFlightAtDispatch requests in progress at the server from this node when the attempt was dispatched
 */
public record AttemptObserved(
        String route, Backend backend, Verdict verdict, long firstByteMs, double perTokenMs, int inFlightAtDispatch)
        implements Event {
    public AttemptObserved {
        Checks.notBlank(route, "route");
        requireNonNull(backend, "backend");
        requireNonNull(verdict, "verdict");
    }

    /** How an attempt ended. */
    public enum Verdict {
        /** A whole answer. */
        GOOD,
        /** An error answer, a timeout or a closed connection. */
        FAILED,
        /** An answer that was wrong or cut. */
        CORRUPT,
        /** Ended for a reason that says nothing of the version: the caller left, the server was reclaimed. */
        NEUTRAL
    }
}
