package org.fuchsiadeck.cli.config;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.config.Envelope;

/**
 * Writes an accepted configuration. Its first line names the revision, so that {@code config apply} knows what an
 * edited file was made from.
 */
@Parameters(commandDescription = "write the configuration accepted last, or an earlier one")
public final class ShowCommand extends StoreCommand {
    @Parameter(names = "--revision", description = "which revision; otherwise the last")
    private Long revision;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public ShowCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        return (revision == null ? current(store) : at(store, revision))
                .fold(e -> console.error(ExitCode.FAILED, e), a -> write(console, a));
    }

    private ExitCode write(Console console, Accepted a) {
        Envelope e = a.envelope();
        if (!output.json()) {
            console.out().print(ConfigFile.withHeader(e.text(), a.revision()));
            return ExitCode.DONE;
        }
        output.write(
                console,
                JSON.createObjectNode()
                        .put("revision", a.revision())
                        .put("operator", e.operator())
                        .put("reason", e.reason())
                        .put("at_ms", e.atMs())
                        .put("write_id", e.writeId())
                        .put("text", e.text()));
        return ExitCode.DONE;
    }

    @Override
    public List<String> examples() {
        return List.of("config show --platform 127.0.0.1:7000 > now.toml", "config show --revision 17 --output json");
    }
}
