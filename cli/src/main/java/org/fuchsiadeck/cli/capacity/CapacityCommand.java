package org.fuchsiadeck.cli.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;

/**
 * Measures, in this process, what decisions, state and messages cost at several sizes, and prints points and slopes.
 */
@Parameters(commandDescription = "measure how costs grow with the size of the deployment")
public final class CapacityCommand implements Command {
    private static final double DIGITS = 1_000;

    @Parameter(names = "--part", description = "what to measure: requests, peers, claims, rollouts, heap or wire")
    private List<Part> parts = List.of(Part.values());

    @Parameter(names = "--points", description = "print the points besides the slopes")
    private boolean points;

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    /** What is measured at a time. */
    public enum Part {
        /** Processor time of requests and of the instance list. */
        REQUESTS,
        /** Processor time of the membership and of the configuration. */
        PEERS,
        /** Processor time of idempotency keys. */
        CLAIMS,
        /** Processor time of the evidence of rollouts. */
        ROLLOUTS,
        /** Heap of the state. */
        HEAP,
        /** Length of the messages between nodes. */
        WIRE;

        private List<Point> measure() {
            return switch (this) {
                case REQUESTS -> RequestCosts.all();
                case PEERS -> PeerCosts.all();
                case CLAIMS -> ClaimCosts.all();
                case ROLLOUTS -> RolloutCosts.all();
                case HEAP -> HeapSizes.all();
                case WIRE -> WireSizes.all();
            };
        }
    }

    @Override
    public ExitCode run(Console console) {
        List<Point> measured = new ArrayList<>();
        for (Part part : parts) {
            measured.addAll(part.measure());
        }
        ArrayNode rows = JsonNodeFactory.instance.arrayNode();
        if (points) {
            measured.forEach(p -> rows.add(row(p)));
        } else {
            measured.stream().filter(p -> p.per().equals("-")).forEach(p -> rows.add(row(p)));
            Slope.of(measured).forEach(s -> rows.add(row(s)));
        }
        output.write(console, rows);
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        console.err().printf(Locale.ROOT, "load average %.1f%n", load);
        return ExitCode.DONE;
    }

    private static ObjectNode row(Point p) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("item", p.item())
                .put("per", p.per())
                .put("size", p.size())
                .put("unit", p.unit())
                .put("median", rounded(p.median()))
                .put("min", rounded(p.min()))
                .put("max", rounded(p.max()));
    }

    private static ObjectNode row(Slope s) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("item", s.item())
                .put("per", s.per())
                .put("unit", s.unit())
                .put("points", s.points())
                .put("base", rounded(s.base()))
                .put("slope", rounded(s.slope()));
    }

    private static double rounded(double value) {
        return Math.round(value * DIGITS) / DIGITS;
    }

    @Override
    public List<String> examples() {
        return List.of("capacity --points", "capacity --part heap,wire --output json");
    }
}
