package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Tells an entry node that a backend server is leaving.
 *
 * @param backend the server
 * @param leftMs the time left of its notice, in milliseconds; {@link #UNKNOWN} if no notice came
 */
public record LeavingBackend(BackendId backend, long leftMs) implements PeerMessage {
    /** No notice came: the server's own answers or the list say that it leaves. */
    public static final long UNKNOWN = -1;

    public LeavingBackend {
        requireNonNull(backend, "backend");
        Checks.inRange(leftMs, UNKNOWN, Long.MAX_VALUE, "leftMs");
    }
}
