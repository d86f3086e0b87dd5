package org.fuchsiadeck.cli.state;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;

import static java.util.Objects.requireNonNull;

/**
 * Writes what a node decided on a request and why, the oldest decision first.
 */
@Parameters(commandDescription = "write what a node decided on a request and why")
public final class WhyCommand implements Command {
    private final OperatorCalls calls;

    @ParametersDelegate
    private final NodeOptions node = new NodeOptions();

    @ParametersDelegate
    private final OutputOptions output = new OutputOptions();

    @Parameter(names = "--request", required = true, description = "the request's id, as X-Request-Id gives it")
    private String request;

    /**
     * Makes the command.
     *
     * @param calls calls the node
     */
    public WhyCommand(OperatorCalls calls) {
        this.calls = requireNonNull(calls, "calls");
    }

    @Override
    public ExitCode run(Console console) {
        return node.dump(console, calls)
                .fold(e -> console.error(ExitCode.FAILED, e), dump -> write(console, dump.path("decisions")));
    }

    private ExitCode write(Console console, JsonNode decisions) {
        ArrayNode found = JsonNodeFactory.instance.arrayNode();
        for (JsonNode decision : decisions) {
            if (decision.path("request").asText().equals(request)) {
                found.insert(0, decision);
            }
        }
        if (found.isEmpty()) {
            String kept = "none of the last " + decisions.size() + " decisions is on request " + request;
            return console.error(ExitCode.FAILED, kept);
        }
        output.write(console, found);
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of("why --node 127.0.0.1:9000 --token-file token --request 5f2c");
    }
}
