package org.fuchsiadeck.node.run;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;

/**
 * Runs actions on the threads that read from connections.
 */
public final class SelectorTasks {
    private SelectorTasks() {}

    /**
     * Runs an action once all that was read from a connection so far is handled, on the thread that reads from it.
     *
     * @param connection the connection
     * @param action the action; must not wait
     */
    public static void runAfterReads(Connection<?> connection, Runnable action) {
        NIOConnection nio = (NIOConnection) connection;
        NIOTransport transport = (NIOTransport) nio.getTransport();
        transport.getSelectorHandler().enque(nio.getSelectorRunner(), () -> done(action), null);
    }

    private static boolean done(Runnable action) {
        action.run();
        return true;
    }
}
