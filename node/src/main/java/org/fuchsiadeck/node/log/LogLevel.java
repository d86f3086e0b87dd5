package org.fuchsiadeck.node.log;

import java.util.logging.Level;

/**
 * The least level of the lines that are logged.
 */
public enum LogLevel {
    /** Every event and effect as well. */
    DEBUG(Level.FINE),
    /** Normal operation. */
    INFO(Level.INFO),
    /** What is worth a look. */
    WARN(Level.WARNING),
    /** What needs an operator. */
    ERROR(Level.SEVERE);

    private final Level jul;

    LogLevel(Level jul) {
        this.jul = jul;
    }

    Level toJul() {
        return jul;
    }
}
