package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.testbed.http.Json;

/**
 * Runs a testbed as a process: prints one line of JSON with the addresses, then waits for SIGTERM.
 */
public final class TestbedDaemon {
    /** The exit code after SIGTERM. */
    public static final int OK = 0;

    /** The exit code when the testbed could not start. */
    public static final int FAILED = 1;

    /** The exit code when the arguments are wrong. */
    public static final int USAGE = 2;

    private static final long CLOSE_TIMEOUT_S = 5;

    private TestbedDaemon() {}

    /**
     * Runs until SIGTERM or until the thread is interrupted.
     *
     * @param args {@code --preset howrah|bucaramanga} or {@code --spec FILE}, and {@code --control-port N}
     * @return the exit code
     */
    public static int run(List<String> args) {
        TestbedSpec spec;
        try {
            spec = parse(args);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return USAGE;
        }
        return run(spec, System.out);
    }

    /**
     * Runs until SIGTERM or until the thread is interrupted.
     *
     * @param spec a file of JSON text, a {@link TestbedSpec}
     * @return the exit code
     */
    public static int run(Path spec) {
        return run(List.of("--spec", spec.toString()));
    }

    static int run(TestbedSpec spec, PrintStream out) {
        CountDownLatch terminated = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        Thread hook = new Thread(() -> terminate(terminated, closed), "testbed-shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try (Testbed testbed = Testbed.start(spec)) {
            out.write((Json.write(testbed.state()) + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            terminated.await();
            return OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OK;
        } catch (IOException e) {
            System.err.println(e.getMessage());
            return FAILED;
        } finally {
            closed.countDown();
            removeHook(hook, terminated);
        }
    }

    private static void terminate(CountDownLatch terminated, CountDownLatch closed) {
        terminated.countDown();
        try {
            closed.await(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void removeHook(Thread hook, CountDownLatch terminated) {
        if (terminated.getCount() == 0) {
            return;
        }
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the process is shutting down already
        }
    }

    private static TestbedSpec parse(List<String> args) throws IOException {
        TestbedSpec spec = null;
        int controlPort = -1;
        for (Iterator<String> i = args.iterator(); i.hasNext(); ) {
            String name = i.next();
            if (!i.hasNext()) {
                throw new IllegalArgumentException(name + " must be followed by a value");
            }
            String value = i.next();
            if (name.equals("--preset")) {
                spec = preset(value);
            } else if (name.equals("--spec")) {
                spec = Json.read(Path.of(value), TestbedSpec.class);
            } else if (name.equals("--control-port")) {
                controlPort = Integer.parseInt(value);
            } else {
                throw new IllegalArgumentException("expected --preset, --spec or --control-port, was " + name);
            }
        }
        TestbedSpec chosen = spec == null ? TestbedSpec.howrah() : spec;
        return controlPort < 0 ? chosen : chosen.withControlPort(controlPort);
    }

    private static TestbedSpec preset(String name) {
        return switch (name) {
            case "howrah" -> TestbedSpec.howrah();
            case "bucaramanga" -> TestbedSpec.bucaramanga();
            default -> throw new IllegalArgumentException("preset must be howrah or bucaramanga, was " + name);
        };
    }
}
