package org.fuchsiadeck.node.client;

/**
 * Receives the result of opening a connection.
 */
public interface ConnectHandler {
    /**
     * Called when the connection is open.
     *
     * @param connection the new connection
     */
    void onConnected(HttpConnection connection);

    /**
     * Called when the connection could not be opened.
     *
     * @param detail a description of the error
     */
    void onFailed(String detail);
}
