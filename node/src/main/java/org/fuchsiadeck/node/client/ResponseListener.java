package org.fuchsiadeck.node.client;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Receives the response to the request in progress on a connection. Methods are called on the connection's selector
 * thread and must not block.
 */
public interface ResponseListener {
    /**
     * Called when the head of the response has been received.
     *
     * @param head the status line and headers
     */
    void onHead(HttpResponsePacket head);

    /**
     * Called when a part of the body has been received.
     *
     * @param part the bytes, valid only during the call
     */
    void onBody(Buffer part);

    /**
     * Called when the response is not valid HTTP. The connection is then closed.
     *
     * @param detail a description of the error
     */
    void onMalformed(String detail);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the connection failed or closed before the response was complete.
     *
     * @param detail a description of the error
     */
    void onLost(String detail);
}
