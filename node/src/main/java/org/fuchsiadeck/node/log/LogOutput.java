package org.fuchsiadeck.node.log;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Sends all log lines of the process to standard output as JSON. Lines are dropped rather than waited for when the
 * reader of the output is slow.
 */
public final class LogOutput implements AutoCloseable {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String OWN_LOGGERS = "org.fuchsiadeck";
    private static final String FILTER_LOGGER = "org.glassfish.grizzly.filterchain.DefaultFilterChain";
    private static final int MAX_WAITING_LINES = 10_000;
    /** Lines that wait are written within this time also on a busy machine; a reader that has stopped gets no more. */
    private static final long CLOSE_WAIT_MS = 4_000;

    private final Logger root = Logger.getLogger("");
    private final Logger own = Logger.getLogger(OWN_LOGGERS);
    private final Handler[] replaced = root.getHandlers();
    private final AsyncHandler lines = new AsyncHandler(MAX_WAITING_LINES);
    private final Logger filters = Logger.getLogger(FILTER_LOGGER);
    private final EndMark end;

    /**
     * Starts an output to a handler.
     *
     * @param level the least level of the node's own lines
     * @param output writes the lines
     */
    LogOutput(Level level, ExtHandler output) {
        lines.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        end = new EndMark(output);
        lines.addHandler(end);
        for (Handler old : replaced) {
            root.removeHandler(old);
        }
        root.setLevel(Level.WARNING);
        own.setLevel(level);
        root.addHandler(lines);
        filters.setFilter(r -> !(r.getThrown() instanceof HttpBrokenContentException));
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
        ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new EventFormatter(node));
        return new LogOutput(level.toJul(), console);
    }

    /** Writes what waits and stops the output. */
    @Override
    public void close() {
        root.removeHandler(lines);
        for (Handler old : replaced) {
            root.addHandler(old);
        }
        lines.publish(end.mark);
        end.await();
        lines.close();
    }

    /** Passes lines on, and tells when all lines before the mark were written; closing drops those that wait. */
    private static final class EndMark extends ExtHandler {
        private final ExtHandler output;
        private final LogRecord mark = new ExtLogRecord(Level.OFF, "", EndMark.class.getName());
        private final CountDownLatch seen = new CountDownLatch(1);

        EndMark(ExtHandler output) {
            this.output = output;
        }

        @Override
        protected void doPublish(ExtLogRecord record) {
            if (record == mark) {
                seen.countDown();
            } else {
                output.publish(record);
            }
        }

        private void await() {
            try {
                seen.await(CLOSE_WAIT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
