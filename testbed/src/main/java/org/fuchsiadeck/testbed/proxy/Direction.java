package org.fuchsiadeck.testbed.proxy;

/** The way that bytes go through a proxy. */
public enum Direction {
    /** From the caller to the target. */
    TO_TARGET,
    /** From the target to the caller. */
    TO_CALLER
}
