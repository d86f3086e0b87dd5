package org.fuchsiadeck.testbed.proxy;

/** What a proxy does once to the connections that are open. */
public enum ProxyAction {
    /** Closes both sides. */
    CUT,
    /** Swallows all bytes and closings from now on; the connections stay open. */
    SILENCE,
    /** Swallows what goes to the target. */
    SILENCE_TO_TARGET,
    /** Swallows what goes to the caller. */
    SILENCE_TO_CALLER,
    /** Ends the bytes to the target; answers still come. */
    HALF_CLOSE_TO_TARGET,
    /** Ends the bytes to the caller; requests still go through. */
    HALF_CLOSE_TO_CALLER
}
