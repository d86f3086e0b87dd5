package org.fuchsiadeck.cli.rollout;

import java.util.List;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.node.rollout.BookStore;

/**
 * Shows the latest rollout of each service.
 */
@Parameters(commandDescription = "show the latest rollout of each service")
public final class StatusCommand extends BookCommand {
    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public StatusCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, BookStore book) {
        Either<String, RolloutRegistry> read = book.read();
        if (read.isLeft()) {
            return console.error(ExitCode.FAILED, read.getLeft());
        }
        ArrayNode rows = JSON.createArrayNode();
        read.get().rollouts().values().forEach(r -> rows.add(summary(r)));
        output.write(console, rows);
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of("rollout status --output json");
    }
}
