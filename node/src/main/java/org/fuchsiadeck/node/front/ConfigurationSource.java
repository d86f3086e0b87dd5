package org.fuchsiadeck.node.front;

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
}
