package org.fuchsiadeck.testbed.http;

import java.io.IOException;

/**
 * A stand-in of a backend server, which can leave, die and start again on the same port.
 */
public interface BackendServer extends AutoCloseable {
    /**
     * Starts to listen, with nothing left of what it held in memory.
     *
     * @throws IOException if the port can't be bound
     */
    void start() throws IOException;

    /**
     * Closes the listener and every connection at once.
     */
    void kill();

    /**
     * Announces that it leaves; it goes on working, and kills itself when the notice ends.
     *
     * @param noticeMs the time left, in milliseconds; negative for no end
     */
    void leave(long noticeMs);

    /**
     * Gives the address.
     *
     * @return {@code host:port}; the port is known once started
     */
    String address();

    /**
     * Tells whether it listens.
     *
     * @return true between start and kill
     */
    boolean isRunning();

    @Override
    default void close() {
        kill();
    }
}
