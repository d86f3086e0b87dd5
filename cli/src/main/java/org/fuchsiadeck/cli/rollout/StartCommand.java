package org.fuchsiadeck.cli.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.cli.config.TimeConverter;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.fuchsiadeck.node.rollout.BookStore;

/**
 * Starts a rollout.
 */
@Parameters(commandDescription = "start a rollout of a new version")
public final class StartCommand extends BookCommand {
    private static final long MS_PER_S = 1_000;

    @Parameter(names = "--service", required = true, description = "the service, as routes name it")
    private String service;

    @Parameter(names = "--old", required = true, description = "the version that serves now")
    private String oldVersion;

    @Parameter(names = "--new", required = true, description = "the version to take over")
    private String newVersion;

    @Parameter(
            names = "--due",
            description = "when the new version has to have taken over, such as 2027-01-31T06:00:00Z",
            converter = TimeConverter.class)
    private Instant due;

    @Parameter(names = "--within-s", description = "instead of --due: the time it has, in seconds")
    private Long withinS;

    @Parameter(names = "--early-percent", description = "greatest share before the first verdict, in percent")
    private int earlyPercent = 5;

    @Parameter(
            names = "--too-little",
            required = true,
            description = "what to do with too little evidence at the due time: finish or take_back")
    private String tooLittle;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public StartCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, BookStore book) {
        long now = TIMING.wallMs().getAsLong();
        Rollout first = rollout(1, now);
        BookStore.Outcome outcome = book.make(new BookStore.Change() {
            @Override
            public Either<String, RolloutRegistry> apply(RolloutRegistry b) {
                Rollout last = b.rollouts().get(service).getOrNull();
                if (last != null && !last.stage().isTerminal()) {
                    return Either.left("rollout " + last.number() + " of " + service + " has not ended; stop it first");
                }
                return Either.right(b.with(rollout(last == null ? 1 : last.number() + 1, now)));
            }

            @Override
            public boolean isIn(RolloutRegistry b) {
                return b.rollouts()
                        .get(service)
                        .exists(r -> r.startedWallMs() == now && r.newVersion().equals(newVersion));
            }
        });
        return report(console, outcome, summary(first).put("outcome", "started"));
    }

    private Rollout rollout(long number, long now) {
        if ((due == null) == (withinS == null)) {
            throw new ParameterException("give one of --due and --within-s");
        }
        try {
            Rollout.InsufficientEvidencePolicy choice =
                    Rollout.InsufficientEvidencePolicy.valueOf(tooLittle.toUpperCase(Locale.ROOT));
            long dueMs = due != null ? due.toEpochMilli() : now + withinS * MS_PER_S;
            Rollout.Move move = new Rollout.Move(now, RolloutStage.EARLY, "started by an operator");
            return new Rollout(
                    service,
                    number,
                    oldVersion,
                    newVersion,
                    earlyPercent,
                    now,
                    dueMs,
                    choice,
                    RolloutStage.EARLY,
                    List.of(move));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    @Override
    public List<String> examples() {
        return List.of(
                "rollout start --service assistant --old v1 --new v2 --within-s 3600 --too-little take_back",
                "rollout start --service drafting --old v7 --new v8 --due 2027-01-31T06:00:00Z --too-little finish");
    }
}
