package org.fuchsiadeck.node.run;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;

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
        run(transport, nio.getSelectorRunner(), action);
    }

    static void run(NIOTransport transport, SelectorRunner runner, Runnable action) {
        transport.getSelectorHandler().enque(runner, () -> runAction(action), null);
    }

    /**
     * Runs an action on the selector thread of a connection after the selector has been polled once more. The first task
     * runs before the next poll, the second one after what that poll showed has been read.
     *
     * @param connection the connection
     * @param action the action, which must not block
     */
    public static void runAfterNextPoll(Connection<?> connection, Runnable action) {
        runAfterReads(connection, () -> runAfterReads(connection, action));
    }

    private static boolean runAction(Runnable action) {
        action.run();
        return true;
    }
}
