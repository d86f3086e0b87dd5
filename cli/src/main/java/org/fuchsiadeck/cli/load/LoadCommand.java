package org.fuchsiadeck.cli.load;

import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.fuchsiadeck.cli.AddressConverter;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpCalls;
import org.fuchsiadeck.node.run.Closer;
import org.fuchsiadeck.testbed.TestbedState;
import org.fuchsiadeck.testbed.cloud.BackendInstance;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Sends the load of an experiment at one rate, and holds the answers against what the stand-ins ran.
 */
@Parameters(commandDescription = "measure entry nodes under load, on this machine only")
public final class LoadCommand implements Command {
    @ParametersDelegate
    private final ExperimentOption file = new ExperimentOption();

    @Parameter(names = "--out", required = true, description = "file for the result, as JSON")
    private Path out;

    @Parameter(names = "--markdown", description = "write the result as a Markdown table too")
    private boolean markdown;

    @Parameter(
            names = "--control",
            required = true,
            description = "control address of the testbed as host:port",
            converter = AddressConverter.class)
    private Address control;

    @Parameter(
            names = "--nodes",
            required = true,
            description = "entry nodes as CALLERS/OPERATORS,...; each is host:port")
    private String nodes;

    @Parameter(names = "--relay", description = "measure what one node adds, in place of the experiment's load")
    private boolean relay;

    @Parameter(names = "--rate", description = "requests for each second")
    private double ratePerS = 100;

    @Parameter(names = "--seed", description = "seeds arrivals and choices")
    private long seed = 1;

    @Parameter(names = "--router", description = "name of the router in the result")
    private String router = "better-of-two";

    @Parameter(names = "--duration-s", description = "another length than the experiment's, in seconds")
    private int durationS;

    /**
     * Returns the commands of this package.
     *
     * @return the commands by name
     */
    public static Map<String, Command> all() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("send", new SendCommand());
        commands.put("load", new LoadCommand());
        commands.put("verdicts", new VerdictCommand());
        commands.put("experiment plan", new PlanCommand());
        commands.put("experiment rollout", new RolloutWatchCommand());
        commands.put("experiment table", new TableCommand());
        return commands;
    }

    @Override
    public ExitCode run(Console console) {
        return file.read().fold(e -> console.error(ExitCode.FAILED, e), e -> {
            try (Closer closer = new Closer()) {
                return run(console, durationS > 0 ? e.lasting(durationS) : e, closer);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return console.error(ExitCode.FAILED, "interrupted");
            }
        });
    }

    private ExitCode run(Console console, Experiment experiment, Closer closer) throws InterruptedException {
        HttpCalls calls = closer.add(new HttpCalls());
        StandIns standIns = standIns(calls);
        List<Entries.Entry> listed = entryList();
        Entries entries = closer.add(new Entries(listed, calls));
        Map<Entries.Entry, String> unready = entries.awaitReady();
        if (!unready.isEmpty()) {
            return console.error(ExitCode.FAILED, "nodes are not ready: " + unready);
        }
        CallerClient client = closer.add(new CallerClient());
        if (relay) {
            return relay(console, experiment, standIns, new Ends(listed.get(0).callers(), client));
        }
        ActionTimer actions = closer.add(new ActionTimer(experiment.actions(), standIns));
        Payloads payloads = new Payloads(experiment, seed);
        List<Planned> plan = Schedule.draw(experiment, ratePerS, seed);
        double before = loadAverage();
        LoadRun.Observed seen = new LoadRun(experiment, payloads, entries::next, client).run(plan, actions::start);
        Audit audit = Audit.of(seen.results(), plan.size(), payloads, standIns.entryRuns(), standIns.engineAudits());
        Summarizer.Context context = new Summarizer.Context(router, ratePerS, seed, List.of(before, loadAverage()));
        Summary summary = new Summarizer(experiment, seen).summary(context, audit, actions.done());
        Results.write(out, summary);
        write(console, Table.of(List.of(summary)));
        audit.examples().forEach(x -> console.error(ExitCode.FAILED, "broken promise: " + x));
        return audit.broken() ? ExitCode.FAILED : ExitCode.DONE;
    }

    private ExitCode relay(Console console, Experiment experiment, StandIns standIns, Ends ends)
            throws InterruptedException {
        double before = loadAverage();
        TestbedState state = standIns.state();
        RelayBench.Way direct = new RelayBench.Way(
                direct(state, BackendInstance.Kind.APPLICATION).get(0),
                direct(state, BackendInstance.Kind.ENGINE),
                "/v1/completions");
        RelayBench.Way relayed = new RelayBench.Way(ends.node, List.of(ends.node), "/assistant/notice");
        RelayBench bench = new RelayBench(ends.client, experiment.versions());
        List<RelayBench.Measured> both = bench.run(direct, relayed, ratePerS);
        Quantiles d = both.get(0).plain();
        Quantiles r = both.get(1).plain();
        RelaySummary summary = new RelaySummary(
                seed,
                ratePerS,
                List.of(before, loadAverage()),
                d,
                r,
                r.p50() - d.p50(),
                r.p99() - d.p99(),
                bench.failures().size(),
                both.get(0).chunksPerS(),
                both.get(1).chunksPerS(),
                RelayBench.STREAMS);
        Results.write(out, summary);
        write(console, RelaySummary.table(List.of(summary)));
        bench.failures().forEach(f -> console.error(ExitCode.FAILED, f));
        return bench.failures().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static List<Address> direct(TestbedState state, BackendInstance.Kind kind) {
        return state.backends().stream()
                .filter(b -> b.kind() == kind)
                .map(b -> Loopback.check(Address.parse(b.direct())))
                .toList();
    }

    private StandIns standIns(HttpCalls calls) {
        try {
            return new StandIns(calls, control);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private List<Entries.Entry> entryList() {
        try {
            return List.of(nodes.split(",")).stream().map(Entries.Entry::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private void write(Console console, String table) {
        if (markdown) {
            console.out().writeBytes(table.getBytes(UTF_8));
        }
    }

    private static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    @Override
    public List<String> examples() {
        return List.of("load --experiment experiments/rush-howrah.toml --out result.json --markdown "
                + "--control 127.0.0.1:7100 --nodes 127.0.0.1:8000/127.0.0.1:9000 --rate 90 --seed 1");
    }

    /** The ends of a relay benchmark. */
    private record Ends(Address node, CallerClient client) {}
}
