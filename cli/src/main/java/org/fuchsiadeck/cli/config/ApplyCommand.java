package org.fuchsiadeck.cli.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigDiff;
import org.fuchsiadeck.node.config.ConfigError;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.config.Envelope;
import org.fuchsiadeck.node.config.Outcome;
import org.fuchsiadeck.node.config.Proposal;
import org.fuchsiadeck.node.platform.PlatformFailure;

/**
 * Checks a configuration whole and has it accepted.
 */
@Parameters(commandDescription = "check a configuration and have it accepted")
public final class ApplyCommand extends StoreCommand {
    private static final String OPERATOR_VARIABLE = "FUCHSIADECK_OPERATOR";
    private static final String CURRENT = "current";

    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @Parameter(names = "--operator", description = "your name; otherwise " + OPERATOR_VARIABLE)
    private String operator;

    @Parameter(names = "--reason", required = true, description = "why the configuration changes")
    private String reason;

    @Parameter(
            names = "--base",
            description = "the revision that the file was made from, or current for whichever it is now; otherwise the"
                    + " file's first line names it")
    private String base;

    @Parameter(names = "--dry-run", description = "check the file and write what would change")
    private boolean dryRun;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public ApplyCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        String name = operator(console);
        ConfigFile f = ConfigFile.read(file);
        Either<List<ConfigError>, Configuration> parsed = f.parse();
        if (parsed.isLeft()) {
            return f.invalid(console, parsed.getLeft());
        }
        Either<PlatformFailure, Optional<Accepted>> read = store.current();
        if (read.isLeft()) {
            return console.error(ExitCode.FAILED, "nothing was written: " + read.getLeft());
        }
        if (dryRun) {
            return preview(console, read.get(), parsed.get());
        }
        long from = base(f, read.get());
        String id = UUID.randomUUID().toString();
        Outcome outcome = store.apply(proposal(f.text(), name, from, id));
        return report(console, store, outcome, from);
    }

    private Proposal proposal(String text, String name, long from, String id) {
        try {
            return new Proposal(text, name, reason, from, id);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }

    private ExitCode preview(Console console, Optional<Accepted> current, Configuration after) {
        Configuration before =
                current.flatMap(a -> Differences.parse(a).toJavaOptional()).orElse(Configuration.NONE);
        output.write(console, Differences.json(ConfigDiff.between(before, after)));
        return ExitCode.DONE;
    }

    /** Returns the revision that the file was made from. A first configuration needs none. */
    private long base(ConfigFile f, Optional<Accepted> current) {
        long now = current.map(Accepted::revision).orElse(0L);
        if (base == null) {
            if (f.base().isPresent() || now == 0) {
                return f.base().orElse(0);
            }
            throw new ParameterException("give --base: the file does not say which revision it was made from; the"
                    + " one accepted last is " + now);
        }
        if (base.equals(CURRENT)) {
            return now;
        }
        try {
            return Long.parseUnsignedLong(base);
        } catch (NumberFormatException e) {
            throw new ParameterException("--base must be a revision or " + CURRENT + ", was " + base, e);
        }
    }

    private String operator(Console console) {
        return Optional.ofNullable(operator)
                .or(() -> console.variable(OPERATOR_VARIABLE))
                .orElseThrow(() -> new ParameterException("give --operator or set " + OPERATOR_VARIABLE));
    }

    private ExitCode report(Console console, ConfigStore store, Outcome outcome, long from) {
        if (outcome instanceof Outcome.Done done) {
            output.write(
                    console, JSON.createObjectNode().put("outcome", "accepted").put("revision", done.revision()));
            return ExitCode.DONE;
        }
        if (outcome instanceof Outcome.Conflict conflict) {
            return conflict(console, store, conflict, from);
        }
        if (outcome instanceof Outcome.Unknown unknown) {
            return console.error(
                    ExitCode.OUTCOME_UNKNOWN,
                    "it is not known whether the configuration was accepted; look for write id " + unknown.writeId()
                            + " in config history: " + unknown.detail());
        }
        if (outcome instanceof Outcome.Invalid invalid) {
            return console.error(ExitCode.FAILED, file + ":" + invalid.errors().get(0));
        }
        return console.error(ExitCode.FAILED, "not accepted: " + ((Outcome.Failed) outcome).detail());
    }

    /** Names the change that came first, and writes what it changed. */
    private ExitCode conflict(Console console, ConfigStore store, Outcome.Conflict conflict, long from) {
        if (conflict.current().isEmpty()) {
            return console.error(ExitCode.FAILED, "not accepted: the configuration was deleted meanwhile");
        }
        Accepted theirs = conflict.current().get();
        Envelope e = theirs.envelope();
        otherChanges(store, theirs, from).forEach(out -> output.write(console, out));
        return console.error(
                ExitCode.FAILED,
                "not accepted: the file was made from revision " + from + ", but " + e.operator() + " had revision "
                        + theirs.revision() + " accepted (" + e.reason() + ")");
    }

    private static Either<String, ArrayNode> otherChanges(ConfigStore store, Accepted theirs, long from) {
        Either<String, Configuration> before =
                from == 0 ? Either.right(Configuration.NONE) : at(store, from).flatMap(Differences::parse);
        return before.flatMap(b -> Differences.parse(theirs).map(t -> Differences.json(ConfigDiff.between(b, t))));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "config apply examples/howrah.toml --operator asha --reason \"first set-up\"",
                "config apply now.toml --operator asha --reason \"longer notices\" --dry-run",
                "config apply now.toml --operator asha --reason \"longer notices\" --base 17");
    }
}
