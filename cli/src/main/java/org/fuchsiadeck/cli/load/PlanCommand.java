package org.fuchsiadeck.cli.load;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;

/**
 * Writes the settings of an experiment's processes, or the list of its runs.
 */
@Parameters(commandDescription = "write the settings of an experiment's processes")
final class PlanCommand implements Command {
    @ParametersDelegate
    private final ExperimentOption experiment = new ExperimentOption();

    @Parameter(names = "--dir", description = "where to write the settings; without it the runs are listed")
    private Path dir;

    @Parameter(names = "--router", description = "router of the nodes")
    private String router = "better-of-two";

    @Override
    public ExitCode run(Console console) {
        return experiment.read().fold(e -> console.error(ExitCode.FAILED, e), e -> {
            if (dir == null) {
                list(console, e);
            } else {
                new DeploymentPlan(e).write(dir, router);
            }
            return ExitCode.DONE;
        });
    }

    /** Lists the runs as {@code seed rate router}; the routers take turns. */
    private static void list(Console console, Experiment e) {
        for (int seed : e.seeds()) {
            for (int rate : e.rates()) {
                e.routers().forEach(r -> console.out().println(seed + " " + rate + " " + r));
            }
        }
    }

    @Override
    public List<String> examples() {
        return List.of("experiment plan --experiment experiments/rush-howrah.toml --dir work --router round-robin");
    }
}
