package org.fuchsiadeck.cli.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.cli.AddressConverter;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.core.model.Address;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Sends one request as a caller does, and writes status, outcome and answer.
 */
@Parameters(commandDescription = "send one request as a caller does")
public final class SendCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Parameter(
            names = "--to",
            required = true,
            description = "callers' address of an entry node as host:port",
            converter = AddressConverter.class)
    private Address to;

    @Parameter(names = "--path", required = true, description = "path of the request, encoded")
    private String path;

    @Parameter(names = "--method", description = "HTTP method; otherwise POST with a body and GET without")
    private String method;

    @Parameter(names = "--team", description = "team of the caller")
    private String team;

    @Parameter(names = "--key", description = "idempotency key")
    private String key;

    @Parameter(names = "--body", description = "body as JSON")
    private String body = "";

    @Parameter(names = "--stream", description = "ask for a streamed answer, and write its text")
    private boolean stream;

    @Parameter(names = "--timeout-ms", description = "longest wait for the whole answer, in milliseconds")
    private long timeoutMs = 60_000;

    @Override
    public ExitCode run(Console console) {
        CallerRequest request = request();
        try (CallerClient client = new CallerClient()) {
            Reply reply = new Reply();
            PendingAnswer call = client.send(request, reply);
            Outcome outcome = await(call, reply);
            write(console, outcome + " " + reply.ending.head().status() + "\n" + reply.text());
            return outcome.code();
        }
    }

    private Outcome await(PendingAnswer call, Reply reply) {
        try {
            return reply.outcome.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            call.giveUp("no whole answer within " + timeoutMs + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.giveUp("interrupted");
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        return reply.outcome.join();
    }

    private CallerRequest request() {
        String content = stream ? streamed() : body;
        String verb = method != null ? method : content.isEmpty() ? "GET" : "POST";
        Map<String, String> headers = new HashMap<>();
        if (team != null) {
            headers.put(CallerRequest.TEAM, team);
        }
        if (key != null) {
            headers.put(CallerRequest.KEY, key);
        }
        if (!path.startsWith("/")) {
            throw new ParameterException("--path must begin with /, was " + path);
        }
        return new CallerRequest(to, verb, path, headers, content);
    }

    private String streamed() {
        try {
            JsonNode json = JSON.readTree(body);
            if (json instanceof ObjectNode object) {
                return JSON.writeValueAsString(object.put("stream", true));
            }
            throw new ParameterException("--stream needs a --body that is a JSON object");
        } catch (JsonProcessingException e) {
            throw new ParameterException("--body is no JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static void write(Console console, String text) {
        console.out().writeBytes((text + "\n").getBytes(UTF_8));
        console.out().flush();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "send --to 127.0.0.1:8000 --path /registers/school-1/entries --team ward-12 --key e-1 "
                        + "--body '{\"entry\":\"e-1\"}'",
                "send --to 127.0.0.1:8000 --path /assistant/notice --team ward-12 --stream "
                        + "--body '{\"model\":\"bangla-assistant\",\"prompt\":\"holiday\",\"max_tokens\":24}'");
    }

    /** Gathers the answer. */
    private static final class Reply implements AnswerHandler {
        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private final StringBuilder tokens = new StringBuilder();
        private StreamEvent last;
        private Ending ending;

        @Override
        public void event(StreamEvent event) {
            last = event;
            tokens.append(event.kind() == StreamEvent.Kind.TOKEN ? event.text() : "");
        }

        @Override
        public void ended(Ending end) {
            ending = end;
            outcome.complete(Outcome.of(end, last));
        }

        String text() {
            if (!ending.detail().isEmpty()) {
                return tokens + ending.detail();
            }
            boolean failed = last != null
                    && last.kind() != StreamEvent.Kind.DONE
                    && ending.head().streamed();
            String text = ending.head().streamed() ? tokens.toString() : new String(ending.body(), UTF_8);
            return failed ? text + "\n" + last.text() : text;
        }
    }
}
