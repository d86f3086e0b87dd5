package org.fuchsiadeck.node.front;

import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.config.Configuration;

/**
 * The configuration by which callers' requests are read.
 */
public interface ConfigurationSource {
    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    Configuration current();

    /**
     * Returns how long ago the configuration in force was last known to be the newest.
     *
     * @return the age, in milliseconds
     */
    long ageMs();

    /**
     * Returns the present time of the clock that gives the arrival of requests.
     *
     * @return monotonic milliseconds
     */
    long nowMs();

    /**
     * Returns whether a request may be refused because of the configuration in force.
     *
     * @param arrivedMs when the request arrived, in milliseconds as of {@link #nowMs}
     * @return the proof that the configuration is the newest
     */
    ConfigState.Proof proofFor(long arrivedMs);

    /**
     * Asks for the proof, without waiting for it.
     *
     * @param arrivedMs when the request arrived, in milliseconds as of {@link #nowMs}
     */
    void requestProof(long arrivedMs);
}
