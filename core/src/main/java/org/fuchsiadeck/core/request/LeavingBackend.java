package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Message between entry nodes that announces that a backend server is leaving.
 *
 * @param backend the server
 * @param remainingMs time until the server is gone, in milliseconds; {@link #UNKNOWN} without a reclaim notice
 */
public record LeavingBackend(BackendId backend, long remainingMs) implements PeerMessage {
    /**
     * Value of {@code remainingMs} without a reclaim notice: the departure is known only from the server's own answers or
     * from the server list.
     */
    public static final long UNKNOWN = -1;

    public LeavingBackend {
        requireNonNull(backend, "backend");
        Checks.inRange(remainingMs, UNKNOWN, Long.MAX_VALUE, "remainingMs");
    }

    @Override
    public boolean isUrgent() {
        return true;
    }
}
