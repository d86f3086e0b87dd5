package org.fuchsiadeck.core;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;

import static java.util.Objects.requireNonNull;

/**
 * What a concern may read besides its own state.
 *
 * @param self the node's identity
 * @param nowMs the monotonic time of the event, in milliseconds; never goes back
 * @param wallMs the wall-clock time of the event, in milliseconds since 1970; may jump
 * @param config the configuration in force
 * @param shares which versions may take traffic
 * @param peers the entry nodes known to be alive
 */
public record View(Identity self, long nowMs, long wallMs, Configuration config, VersionShares shares, Peers peers) {
    public View {
        requireNonNull(self, "self");
        requireNonNull(config, "config");
        requireNonNull(shares, "shares");
        requireNonNull(peers, "peers");
    }
}
