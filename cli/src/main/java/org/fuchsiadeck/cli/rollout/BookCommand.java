package org.fuchsiadeck.cli.rollout;

import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.node.config.Timing;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.rollout.BookStore;

import static java.util.Objects.requireNonNull;

/**
 * A command that reads or changes the book of rollouts.
 */
abstract class BookCommand implements Command {
    static final ObjectMapper JSON = new ObjectMapper();
    static final Timing TIMING = Timing.system();

    @ParametersDelegate
    final OutputOptions output = new OutputOptions();

    @ParametersDelegate
    private final PlatformOptions platform = new PlatformOptions();

    private final PlatformOptions.Connector connector;

    BookCommand(PlatformOptions.Connector connector) {
        this.connector = requireNonNull(connector, "connector");
    }

    @Override
    public ExitCode run(Console console) {
        try (KeyValueStore store = platform.open(console, connector)) {
            return run(console, new BookStore(store, TIMING, platform.patienceMs()));
        }
    }

    /** Runs the command on the book. */
    abstract ExitCode run(Console console, BookStore book);

    /** Writes what came of a change. */
    ExitCode report(Console console, BookStore.Outcome outcome, ObjectNode done) {
        return switch (outcome.result()) {
            case DONE -> {
                output.write(console, done);
                yield ExitCode.DONE;
            }
            case REFUSED -> console.error(ExitCode.FAILED, "nothing was changed: " + outcome.detail());
            case UNKNOWN ->
                console.error(
                        ExitCode.OUTCOME_UNKNOWN,
                        "it is not known whether the change was made; see rollout status: " + outcome.detail());
        };
    }

    /** Returns a rollout without its moves. */
    static ObjectNode summary(Rollout r) {
        return JSON.createObjectNode()
                .put("service", r.service())
                .put("number", r.number())
                .put("old", r.oldVersion())
                .put("new", r.newVersion())
                .put("stage", r.stage().name().toLowerCase(java.util.Locale.ROOT))
                .put("share_percent", Math.round(r.newVersionShare() * 100))
                .put("due", java.time.Instant.ofEpochMilli(r.dueWallMs()).toString());
    }
}
