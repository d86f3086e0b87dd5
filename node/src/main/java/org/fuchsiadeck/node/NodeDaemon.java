package org.fuchsiadeck.node;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vavr.control.Either;
import org.fuchsiadeck.node.log.LogOutput;
import org.fuchsiadeck.node.settings.LoadedSettings;
import org.fuchsiadeck.node.settings.Settings;
import org.fuchsiadeck.node.settings.SettingsError;
import org.fuchsiadeck.node.settings.SettingsFile;
import sun.misc.Signal;

/**
 * Runs an entry node as a process.
 */
public final class NodeDaemon {
    /** The exit code after a graceful shutdown. */
    public static final int EXIT_STOPPED = 0;

    /** The exit code when the settings can't be used. */
    public static final int EXIT_BAD_SETTINGS = 2;

    /** The exit code when the event loop does not come back, and the process must be started anew. */
    public static final int EXIT_LOST = 4;

    /** For how long the log is written before the process ends. */
    private static final long LAST_LINES_MS = 200;

    private static final long CLOSE_WAIT_MS = 10_000;

    private NodeDaemon() {}

    /**
     * Runs a node until it is asked to stop.
     *
     * @param settings the settings file
     * @return the exit code
     */
    public static int run(Path settings) {
        return run(settings, s -> Parts.standard(s.router().router()));
    }

    /**
     * Runs a node with other parts than the standard ones.
     *
     * @param settings the settings file
     * @param parts the parts
     * @return the exit code
     */
    public static int run(Path settings, Parts parts) {
        return run(settings, s -> parts);
    }

    /**
     * Runs a node until it is stopped.
     *
     * @param settings the settings file
     * @param parts gives the parts that can be exchanged
     * @return the exit code
     */
    public static int run(Path settings, Function<Settings, Parts> parts) {
        LogOutput.select();
        Either<SettingsError, LoadedSettings> read = SettingsFile.read(settings);
        if (read.isLeft()) {
            return fail(read.getLeft());
        }
        Settings checked = read.get().settings();
        CountDownLatch ended = new CountDownLatch(1);
        CompletableFuture<Node> started = new CompletableFuture<>();
        try (LogOutput output = LogOutput.start(checked.identity().id().value(), checked.logLevel());
                SettingsWatch watch =
                        new SettingsWatch(settings, s -> started.thenAccept(n -> n.reload(s.settings())))) {
            // Without a handler the signal ends the process, and the node serves before its start has returned.
            Signal.handle(new Signal("HUP"), s -> watch.reload());
            Either<SettingsError, Node> node = Node.start(read.get(), parts.apply(checked));
            node.peek(n -> n.whenLost(NodeDaemon::end)).peek(started::complete);
            watch.start();
            return node.fold(NodeDaemon::fail, n -> serve(n, checked.drainNoticeMs(), ended));
        } finally {
            ended.countDown();
        }
    }

    /** A shutdown would wait for the event loop. */
    private static void end() {
        try {
            Thread.sleep(LAST_LINES_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(EXIT_LOST);
    }

    private static int fail(SettingsError error) {
        System.err.println(error);
        return EXIT_BAD_SETTINGS;
    }

    private static int serve(Node node, long noticeMs, CountDownLatch ended) {
        Thread hook = new Thread(() -> drain(node, noticeMs, ended), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            node.awaitDrained();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            node.close();
        }
        removeHook(hook);
        return EXIT_STOPPED;
    }

    /**
     * Holds the process until all is closed and the last log line is written, and ends it as stopped. The exit code
     * would be that of the signal otherwise, and a supervisor would take a graceful shutdown for a crash.
     */
    private static void drain(Node node, long noticeMs, CountDownLatch ended) {
        node.requestStop(noticeMs);
        try {
            if (ended.await(noticeMs + CLOSE_WAIT_MS, TimeUnit.MILLISECONDS)) {
                Runtime.getRuntime().halt(EXIT_STOPPED);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is shutting down, and the hook is running.
            return;
        }
    }
}
