package org.fuchsiadeck.node.backend;

import org.glassfish.grizzly.Buffer;

/**
 * Reads the body of an answer as its bytes arrive.
 */
public interface AnswerBodyReader {
    /**
     * Reads the next part of the body.
     *
     * @param part the bytes
     * @throws BadAnswerException if the answer violates the protocol
     */
    void onBody(Buffer part) throws BadAnswerException;

    /**
     * Handles the end of the body.
     *
     * @throws BadAnswerException if the answer is incomplete
     */
    void onEnd() throws BadAnswerException;
}
