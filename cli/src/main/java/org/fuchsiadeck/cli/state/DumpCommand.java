package org.fuchsiadeck.cli.state;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;

import static java.util.Objects.requireNonNull;

/**
 * Writes the state of a node: in the order of operators' questions, or whole.
 */
@Parameters(commandDescription = "write the state of a node")
public final class DumpCommand implements Command {
    private final OperatorCalls calls;

    @ParametersDelegate
    private final NodeOptions node = new NodeOptions();

    @Parameter(names = "--raw", description = "write the whole state as well")
    private boolean raw;

    @Parameter(names = "--output", description = "form of the results: table or json")
    private OutputOptions.Format format = OutputOptions.Format.JSON;

    /**
     * Makes the command.
     *
     * @param calls calls the node
     */
    public DumpCommand(OperatorCalls calls) {
        this.calls = requireNonNull(calls, "calls");
    }

    @Override
    public ExitCode run(Console console) {
        Either<String, JsonNode> dump = raw ? node.rawDump(console, calls) : node.dump(console, calls);
        return dump.fold(e -> console.error(ExitCode.FAILED, e), state -> write(console, state));
    }

    private ExitCode write(Console console, JsonNode state) {
        if (format == OutputOptions.Format.JSON) {
            console.out().println(state.toPrettyString());
        } else {
            new OutputOptions().write(console, state);
        }
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "dump --node 127.0.0.1:9000 --token-file token", "dump --node 127.0.0.1:9000 --token-file token --raw");
    }
}
