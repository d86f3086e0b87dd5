package org.fuchsiadeck.cli.config;

import java.time.Instant;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigStore;

/**
 * Writes the accepted changes, newest first.
 */
@Parameters(commandDescription = "write who accepted which configuration, when and why")
public final class HistoryCommand extends StoreCommand {
    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public HistoryCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        return current(store).fold(e -> console.error(ExitCode.FAILED, e), a -> {
            output.write(console, json(a));
            return ExitCode.DONE;
        });
    }

    private static ArrayNode json(Accepted accepted) {
        ArrayNode out = JSON.createArrayNode();
        accepted.changes()
                .forEach(c -> out.addObject()
                        .put("revision", c.revision())
                        .put("at", Instant.ofEpochMilli(c.atMs()).toString())
                        .put("operator", c.operator())
                        .put("reason", c.reason())
                        .put("write_id", c.writeId()));
        return out;
    }

    @Override
    public List<String> examples() {
        return List.of("config history", "config history --output json");
    }
}
