package org.fuchsiadeck.cli.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.AddressConverter;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpAnswer;
import org.fuchsiadeck.node.platform.HttpCall;

/**
 * Which node to ask, and with which token.
 */
public final class NodeOptions {
    private static final String TOKEN_VARIABLE = "FUCHSIADECK_TOKEN";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;

    @Parameter(
            names = "--node",
            required = true,
            description = "operators' address of the node as host:port",
            converter = AddressConverter.class)
    private Address address;

    @Parameter(
            names = "--token-file",
            description = "file with the operators' token; otherwise the variable " + TOKEN_VARIABLE)
    private Path tokenFile;

    @Parameter(names = "--timeout-ms", description = "longest wait for the answer, in milliseconds")
    private long timeoutMs = 5_000;

    /** Reads the answers to operators' questions from the node's dump. The error is one line. */
    Either<String, JsonNode> dump(Console console, OperatorCalls calls) {
        return dump(console, calls, "/dump?brief=1");
    }

    /** Reads the node's dump with its whole state. The error is one line. */
    Either<String, JsonNode> rawDump(Console console, OperatorCalls calls) {
        return dump(console, calls, "/dump?raw=1");
    }

    private Either<String, JsonNode> dump(Console console, OperatorCalls calls, String path) {
        Map<String, String> headers = Map.of("Authorization", "Bearer " + token(console));
        return calls.make(new HttpCall(address, "GET", path, headers, "", timeoutMs))
                .mapLeft(f -> "dump of " + address + ": " + f)
                .flatMap(this::read);
    }

    private Either<String, JsonNode> read(HttpAnswer answer) {
        if (answer.status() == UNAUTHORIZED) {
            return Either.left("dump of " + address + ": the node refused the token");
        }
        if (answer.status() != OK) {
            return Either.left("dump of " + address + ": status " + answer.status());
        }
        try {
            return Either.right(JSON.readTree(answer.body()));
        } catch (JsonProcessingException e) {
            return Either.left("dump of " + address + ": unreadable answer: " + e.getOriginalMessage());
        }
    }

    private String token(Console console) {
        if (tokenFile == null) {
            return console.variable(TOKEN_VARIABLE)
                    .orElseThrow(() -> new ParameterException("give --token-file or set " + TOKEN_VARIABLE));
        }
        try {
            return Files.readString(tokenFile).strip();
        } catch (IOException e) {
            throw new ParameterException("the token file " + tokenFile + " cannot be read", e);
        }
    }
}
