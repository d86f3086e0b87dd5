package org.fuchsiadeck.cli.rollout;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.fuchsiadeck.node.rollout.BookStore;

/**
 * Takes a rollout back.
 */
@Parameters(commandDescription = "take a rollout back")
public final class StopCommand extends BookCommand {
    @Parameter(names = "--service", required = true, description = "the service")
    private String service;

    @Parameter(names = "--reason", required = true, description = "why it is taken back")
    private String reason;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public StopCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, BookStore book) {
        long now = TIMING.wallMs().getAsLong();
        BookStore.Outcome outcome = book.make(new BookStore.Change() {
            @Override
            public Either<String, RolloutRegistry> apply(RolloutRegistry b) {
                Rollout last = b.rollouts().get(service).getOrNull();
                if (last == null || last.stage().isTerminal()) {
                    return Either.left("no rollout of " + service + " is under way");
                }
                return Either.right(
                        b.with(last.withStage(RolloutStage.TAKEN_BACK, now, "stopped by an operator: " + reason)));
            }

            @Override
            public boolean isIn(RolloutRegistry b) {
                return b.rollouts().get(service).exists(r -> r.stage() == RolloutStage.TAKEN_BACK);
            }
        });
        return report(
                console,
                outcome,
                JSON.createObjectNode().put("outcome", "taken back").put("service", service));
    }

    @Override
    public List<String> examples() {
        return List.of("rollout stop --service assistant --reason \"notices in the wrong script\"");
    }
}
