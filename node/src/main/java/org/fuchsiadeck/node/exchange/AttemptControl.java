package org.fuchsiadeck.node.exchange;

import org.fuchsiadeck.core.request.Failure;

/**
 * What an exchange may ask of the attempt that serves it.
 */
public interface AttemptControl {
    /**
     * Ends the attempt unless it has ended.
     *
     * @param kind why
     * @param detail what was seen
     */
    void fail(Failure.Kind kind, String detail);

    /** Stops reading the answer for now. */
    void pauseReading();

    /** Goes on reading the answer. */
    void resumeReading();
}
