package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A message between entry nodes about the rate of requests that a backend server accepts.
 */
public sealed interface ServerLimitMessage extends PeerMessage {
    /** The greatest number of requests for which a node asks at once. */
    int MAX_WANTED = 16;

    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * Returns the server.
     *
     * @return the server
     */
    BackendId backend();

    /**
     * Tells of a limit or of its end.
     *
     * @param backend the server
     * @param perSecond the requests per second that the server accepts
     * @param active whether the limit is in force
     * @param ageMs how long ago the server's answer showed it, in milliseconds
     */
    record Changed(BackendId backend, double perSecond, boolean active, long ageMs) implements ServerLimitMessage {
        public Changed {
            requireNonNull(backend, "backend");
            Checks.finiteNotNegative(perSecond, "perSecond");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
        }
    }

    /**
     * Asks the home of a limit for sends.
     *
     * @param backend the server
     * @param perSecond the limit as the sender knows it, in requests per second
     * @param ageMs how long ago the server's answer showed it, in milliseconds
     * @param wanted the requests that wait at the sender
     */
    record Query(BackendId backend, double perSecond, long ageMs, int wanted) implements ServerLimitMessage {
        public Query {
            requireNonNull(backend, "backend");
            Checks.finiteNotNegative(perSecond, "perSecond");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
            Checks.inRange(wanted, 1, MAX_WANTED, "wanted");
        }
    }

    /**
     * Answers a query.
     *
     * @param backend the server
     * @param count the requests that the receiver may send
     * @param waitMs when to ask again if it may send none, in milliseconds
     */
    record Grant(BackendId backend, int count, long waitMs) implements ServerLimitMessage {
        public Grant {
            requireNonNull(backend, "backend");
            Checks.inRange(count, 0, MAX_WANTED, "count");
            Checks.inRange(waitMs, 0, Long.MAX_VALUE, "waitMs");
        }
    }
}
