package org.fuchsiadeck.node.backend;

import org.glassfish.grizzly.Buffer;

/**
 * Reads the body of one kind of answer.
 */
public interface AnswerBodyReader {
    /**
     * Takes a part of the body.
     *
     * @param part the bytes
     * @throws BadAnswerException if the answer breaks the protocol
     */
    void onBody(Buffer part) throws BadAnswerException;

    /**
     * The body is whole.
     *
     * @throws BadAnswerException if the answer is not
     */
    void onEnd() throws BadAnswerException;
}
