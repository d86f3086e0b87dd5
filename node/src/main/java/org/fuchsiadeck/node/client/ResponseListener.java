package org.fuchsiadeck.node.client;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Takes the answer to the request in progress on a connection. Called on the connection's selector thread, so it must
 * not wait.
 */
public interface ResponseListener {
    /**
     * The head of the answer came.
     *
     * @param head the head
     */
    void onHead(HttpResponsePacket head);

    /**
     * A part of the body came.
     *
     * @param part the bytes; valid during the call only
     */
    void onBody(Buffer part);

    /**
     * The answer is not valid HTTP. The connection is closed.
     *
     * @param detail what was seen
     */
    void onMalformed(String detail);

    /** The answer is whole. */
    void onEnd();

    /**
     * The connection failed or closed before the answer was whole.
     *
     * @param detail what was seen
     */
    void onLost(String detail);
}
