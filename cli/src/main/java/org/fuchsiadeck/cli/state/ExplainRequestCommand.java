package org.fuchsiadeck.cli.state;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Tells one request's story from the logs of several nodes: every line that names the request, in the order of time.
 */
@Parameters(commandDescription = "tell one request's story from the logs of several nodes")
public final class ExplainRequestCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> HEADING = Set.of("at", "level", "node", "event", "name", "request");

    @Parameter(names = "--request", description = "the request's id", required = true)
    private String request;

    @Parameter(description = "log files; standard input if there are none")
    private List<String> files = new ArrayList<>();

    private record Line(String at, String node, String name, String rest) {}

    @Override
    public ExitCode run(Console console) {
        List<Line> story = new ArrayList<>();
        try {
            if (files.isEmpty()) {
                read(new BufferedReader(new InputStreamReader(System.in, UTF_8)).lines(), story);
            }
            for (String file : files) {
                try (Stream<String> lines = Files.lines(Path.of(file))) {
                    read(lines, story);
                }
            }
        } catch (IOException e) {
            return console.error(ExitCode.FAILED, "the log can't be read: " + e);
        }
        if (story.isEmpty()) {
            return console.error(ExitCode.FAILED, "no line names the request " + request);
        }
        story.sort(Comparator.comparing(Line::at));
        story.forEach(l -> console.out().println(l.at() + " " + l.node() + " " + l.name() + l.rest()));
        return ExitCode.DONE;
    }

    private void read(Stream<String> lines, List<Line> story) {
        lines.filter(l -> l.contains(request)).forEach(l -> line(l).ifPresent(story::add));
    }

    /** Reads a line; something else, such as a time, may stand before its object. */
    private Optional<Line> line(String text) {
        int from = text.indexOf('{');
        if (from < 0) {
            return Optional.empty();
        }
        try {
            JsonNode json = JSON.readTree(text.substring(from));
            return json.hasNonNull("at") && names(json) ? Optional.of(line(json)) : Optional.empty();
        } catch (JsonProcessingException e) {
            // A line that was cut tells nothing.
            return Optional.empty();
        }
    }

    private boolean names(JsonNode json) {
        boolean detail = List.of(json.path("detail").asText().split("[ :,]")).contains(request);
        return detail || json.path("request").asText().equals(request);
    }

    private static Line line(JsonNode json) {
        StringBuilder rest = new StringBuilder();
        Iterator<Map.Entry<String, JsonNode>> fields = json.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!HEADING.contains(field.getKey())) {
                rest.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return new Line(
                json.path("at").asText(),
                json.path("node").asText(),
                json.path("name").asText(json.path("message").asText()),
                rest.toString());
    }

    @Override
    public List<String> examples() {
        return List.of("explain-request --request 9c41d07b node-1.log node-2.log");
    }
}
