package org.fuchsiadeck.core.config;

import java.util.List;

/**
 * What a node knows of the configuration.
 */
public record ConfigState() {
    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static ConfigState initial() {
        return new ConfigState();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Configuration current() {
        return Configuration.NONE;
    }

    /**
     * Returns why the node must not serve callers yet.
     *
     * @return one sentence for each reason; empty if the node is ready
     */
    public List<String> unready() {
        return List.of("no configuration is known");
    }
}
