package org.fuchsiadeck.cli.load;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Writes the results of several runs as one table.
 */
@Parameters(commandDescription = "write results as a Markdown table")
final class TableCommand implements Command {
    @Parameter(description = "RESULT.json...", required = true)
    private List<Path> files;

    @Parameter(names = "--teams", description = "write a line for each team")
    private boolean teams;

    @Override
    public ExitCode run(Console console) {
        List<JsonNode> results = files.stream().map(Results::read).toList();
        List<JsonNode> runs =
                results.stream().filter(r -> r.has("goodput_per_s")).toList();
        List<JsonNode> relays =
                results.stream().filter(r -> r.has("added_p50_ms")).toList();
        String text = "";
        if (!runs.isEmpty()) {
            List<Summary> summaries = runs.stream().map(Results::summary).toList();
            text += teams ? Table.ofTeams(summaries) : Table.of(summaries);
        }
        if (!relays.isEmpty()) {
            text += RelaySummary.table(relays.stream().map(Results::relay).toList());
        }
        console.out().writeBytes(text.getBytes(UTF_8));
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of("experiment table results/1.json results/2.json");
    }
}
