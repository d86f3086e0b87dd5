package org.fuchsiadeck.cli.state;

import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;

import static java.util.Objects.requireNonNull;

/**
 * Writes the whole state of a node.
 */
@Parameters(commandDescription = "write the state of a node")
public final class DumpCommand implements Command {
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
    public DumpCommand(OperatorCalls calls) {
        this.calls = requireNonNull(calls, "calls");
    }

    @Override
    public ExitCode run(Console console) {
        return node.dump(console, calls).fold(e -> console.error(ExitCode.FAILED, e), state -> {
            output.write(console, state);
            return ExitCode.DONE;
        });
    }

    @Override
    public List<String> examples() {
        return List.of("dump --node 127.0.0.1:9000 --token-file token --output json");
    }
}
