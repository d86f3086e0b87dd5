package org.fuchsiadeck.cli.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.node.rollout.BookStore;

/**
 * Writes every move of a service's latest rollout with its reason, and the condemned versions.
 */
@Parameters(commandDescription = "show every move of a rollout with its reason")
public final class ReportCommand extends BookCommand {
    @Parameter(names = "--service", required = true, description = "the service")
    private String service;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public ReportCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, BookStore book) {
        Either<String, RolloutRegistry> read = book.read();
        if (read.isLeft()) {
            return console.error(ExitCode.FAILED, read.getLeft());
        }
        Rollout rollout = read.get().rollouts().get(service).getOrNull();
        if (rollout == null) {
            return console.error(ExitCode.FAILED, "there is no rollout of " + service);
        }
        if (output.json()) {
            output.write(console, whole(rollout, read.get()));
        } else {
            output.write(console, moves(rollout));
        }
        return ExitCode.DONE;
    }

    private static ObjectNode whole(Rollout rollout, RolloutRegistry book) {
        ObjectNode out = summary(rollout);
        out.put("outcome", outcome(rollout));
        out.set("moves", moves(rollout));
        ArrayNode condemned = out.putArray("condemned");
        for (Condemnation c : book.condemned().values()) {
            if (c.version().service().equals(rollout.service())) {
                condemned
                        .addObject()
                        .put("version", c.version().version())
                        .put("rollout", c.number())
                        .put("reason", c.reason());
            }
        }
        return out;
    }

    private static ArrayNode moves(Rollout rollout) {
        ArrayNode out = JSON.createArrayNode();
        for (Rollout.Move move : rollout.moves()) {
            out.addObject()
                    .put("at", Instant.ofEpochMilli(move.atWallMs()).toString())
                    .put("stage", move.stage().name().toLowerCase(Locale.ROOT))
                    .put("reason", move.reason());
        }
        return out;
    }

    private static String outcome(Rollout rollout) {
        return switch (rollout.stage()) {
            case DONE -> "done";
            case TAKEN_BACK -> "taken back";
            case EARLY, HALF, FULL -> "under way";
        };
    }

    @Override
    public List<String> examples() {
        return List.of("rollout report --service assistant");
    }
}
