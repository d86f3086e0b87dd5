package org.fuchsiadeck.node.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sends all log lines of the process to standard output as JSON. Lines are dropped rather than waited for when the
 * reader of the output is slow.
 */
public final class LogOutput implements AutoCloseable {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String OWN_LOGGERS = "org.fuchsiadeck";
    private static final int MAX_WAITING_LINES = 10_000;

    private final Logger root = Logger.getLogger("");
    private final Logger own = Logger.getLogger(OWN_LOGGERS);
    private final AsyncHandler handler = new AsyncHandler(MAX_WAITING_LINES);

    private LogOutput(String node, Level level) {
        ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new EventFormatter(node));
        handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        handler.addHandler(console);
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.setLevel(Level.WARNING);
        own.setLevel(level);
        root.addHandler(handler);
    }

    /** Makes the log manager that writes JSON the one of this process. Call it before anything logs. */
    public static void select() {
        if (System.getProperty(MANAGER_PROPERTY) == null) {
            System.setProperty(MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
        }
    }

    /**
     * Starts the output.
     *
     * @param node the node's id, a field of every line
     * @param level the least level of the node's own lines
     * @return the output
     */
    public static LogOutput start(String node, LogLevel level) {
        return new LogOutput(node, level.toJul());
    }

    /** Writes what waits and stops the output. */
    @Override
    public void close() {
        root.removeHandler(handler);
        handler.close();
    }
}
