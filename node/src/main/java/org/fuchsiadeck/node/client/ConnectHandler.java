package org.fuchsiadeck.node.client;

/**
 * Takes a new connection, or the failure to make one.
 */
public interface ConnectHandler {
    /**
     * The connection is open.
     *
     * @param connection the connection
     */
    void onConnected(HttpConnection connection);

    /**
     * No connection could be made.
     *
     * @param detail what was seen
     */
    void onFailed(String detail);
}
