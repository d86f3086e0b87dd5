package org.fuchsiadeck.cli.state;

import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;

import static java.util.Objects.requireNonNull;

/**
 * Writes which entry nodes a node knows of: the field {@code members} of its dump.
 */
@Parameters(commandDescription = "write the entry nodes that a node knows of")
public final class MembersCommand implements Command {
    private final OperatorCalls calls;

    @ParametersDelegate
    private final NodeOptions node = new NodeOptions();

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    /**
     * Makes the command.
     *
     * @param calls calls the node
     */
    public MembersCommand(OperatorCalls calls) {
        this.calls = requireNonNull(calls, "calls");
    }

    @Override
    public ExitCode run(Console console) {
        return node.dump(console, calls).fold(e -> console.error(ExitCode.FAILED, e), state -> write(console, state));
    }

    private ExitCode write(Console console, JsonNode state) {
        JsonNode members = state.path("members");
        if (members.isMissingNode()) {
            return console.error(ExitCode.FAILED, "the node's dump has no members");
        }
        output.write(console, members);
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of("members --node 127.0.0.1:9000 --token-file token");
    }
}
