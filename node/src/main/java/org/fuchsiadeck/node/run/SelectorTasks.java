package org.fuchsiadeck.node.run;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;

/**
 * Schedules actions on the selector threads that read from connections.
 */
public final class SelectorTasks {
    private SelectorTasks() {}

    /**
     * Runs an action on the selector thread of a connection, after the data read from it so far has been handled.
     *
     * @param connection the connection
     * @param action the action, which must not block
     */
    public static void runAfterReads(Connection<?> connection, Runnable action) {
        NIOConnection nio = (NIOConnection) connection;
        NIOTransport transport = (NIOTransport) nio.getTransport();
        transport.getSelectorHandler().enque(nio.getSelectorRunner(), () -> runAction(action), null);
    }

    private static boolean runAction(Runnable action) {
        action.run();
        return true;
    }
}
