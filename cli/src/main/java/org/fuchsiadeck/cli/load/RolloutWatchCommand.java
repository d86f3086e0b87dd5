package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.fuchsiadeck.cli.AddressConverter;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpCalls;

/**
 * Watches a rollout while load is sent, and writes one row of a table.
 */
@Parameters(commandDescription = "watch a rollout under load, and write a row of a table")
final class RolloutWatchCommand implements Command {
    private static final long SAMPLE_MS = 100;
    private static final int OLD_EACH = 10;
    private static final long MS_PER_S = 1_000;
    private static final double PERCENT = 100;

    @Parameter(
            names = "--control",
            required = true,
            description = "control address of the testbed as host:port",
            converter = AddressConverter.class)
    private Address control;

    @Parameter(names = "--logs", required = true, description = "directory of the nodes' logs, node-*.log")
    private Path logs;

    @Parameter(names = "--new", description = "the new version")
    private String newVersion = "v2";

    @Parameter(names = "--fault-after", description = "after how many requests to one engine the fault shows")
    private int faultAfter;

    @Parameter(names = "--for-s", required = true, description = "how long to watch, in seconds")
    private int forS;

    @Parameter(names = "--name", required = true, description = "first cell of the row")
    private String name;

    @Override
    public ExitCode run(Console console) {
        try (HttpCalls calls = new HttpCalls()) {
            RolloutWatch watch = new RolloutWatch(new StandIns(calls, control), newVersion, faultAfter);
            long end = System.currentTimeMillis() + forS * MS_PER_S;
            for (int i = 0; System.currentTimeMillis() < end; i++) {
                watch.sample(System.currentTimeMillis(), i % OLD_EACH == 0);
                Thread.sleep(SAMPLE_MS);
            }
            console.out().println(row(watch, RolloutWatch.condemnedMs(lines())));
            return ExitCode.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return console.error(ExitCode.FAILED, "interrupted");
        }
    }

    private String row(RolloutWatch watch, List<Long> condemned) {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        if (condemned.isEmpty()) {
            return String.format(Locale.ROOT, "| %s | no | %d | - | - | - | %.0f |", name, watch.newCount(), load);
        }
        long first = condemned.get(0);
        int met = watch.newCount(first);
        return String.format(
                Locale.ROOT,
                "| %s | yes | %d | %.1f | %.1f | %.1f | %.0f |",
                name,
                watch.newCount(),
                PERCENT * met / Math.max(1, watch.allCount(first)),
                (double) (watch.lastNewMs() - watch.firstFaultMs()) / MS_PER_S,
                (double) (watch.lastNewMs() - first) / MS_PER_S,
                load);
    }

    private List<String> lines() {
        List<String> out = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(logs, "node-*.log")) {
            for (Path file : files) {
                out.addAll(Files.readAllLines(file));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out;
    }

    @Override
    public List<String> examples() {
        return List.of("experiment rollout --control 127.0.0.1:7100 --logs work --for-s 40 --name \"fails at once\"");
    }
}
