package org.fuchsiadeck.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.log.LogLevel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsFileTest {
    private static final String GOOD = """
            id = "n1"
            zone = "behala"
            seed = 7
            [callers]
            address = "127.0.0.1:1"
            [operators]
            address = "127.0.0.1:2"
            token = "t"
            [peers]
            address = "127.0.0.1:3"
            seeds = ["127.0.0.1:4", "127.0.0.1:5"]
            [platform]
            address = "127.0.0.1:6"
            [cloud]
            address = "127.0.0.1:7"
            [limits]
            max_connections = 9
            [experiment]
            router = "round-robin"
            """;

    @TempDir
    private Path dir;

    @Test
    void readsAllSettings() throws IOException {
        Settings settings = read("log_level = \"debug\"\n" + GOOD).get().settings();
        assertThat(settings.identity().id().value()).isEqualTo("n1");
        assertThat(settings.identity().seed()).isEqualTo(7);
        assertThat(settings.peerSeeds()).containsExactly(new Address("127.0.0.1", 4), new Address("127.0.0.1", 5));
        assertThat(settings.limits().maxConnections()).isEqualTo(9);
        assertThat(settings.limits().maxStreams()).isEqualTo(Limits.DEFAULT.maxStreams());
        assertThat(settings.limits().maxBodyBytes()).isEqualTo(Limits.DEFAULT.maxBodyBytes());
        assertThat(settings.logLevel()).isEqualTo(LogLevel.DEBUG);
        assertThat(settings.router()).isEqualTo(RouterChoice.ROUND_ROBIN);
    }

    @Test
    void readsHowMuchMayBeHeldForCallers() throws IOException {
        String more = "max_connections = 9\nmax_streams = 5\nmax_buffered_bytes = 1000000";
        Limits limits =
                read(GOOD.replace("max_connections = 9", more)).get().settings().limits();
        assertThat(limits.maxStreams()).isEqualTo(5);
        assertThat(limits.maxBufferedBytes()).isEqualTo(1_000_000);
        String little = more.replace("1000000", "1");
        assertThat(read(GOOD.replace("max_connections = 9", little)).getLeft().toString())
                .contains("limits.max_buffered_bytes: ");
    }

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "seed = 7                | seed = \"7\"            | 3:1: seed: must be a whole number",
                "seed = 7                | sead = 7                | 3:1: sead: is not a setting",
                "seed = 7                | seed =                  | 3:",
                "id = \"n1\"             | id = \" \"              | 1:1: id: must be a text that is not blank",
                "id = \"n1\"             | log_level = \"loud\"    | 1:1: id: is missing",
                "max_connections = 9     | max_connections = 0     | 17:1: limits.max_connections: max_connections must",
                "max_connections = 9     | connections = 9         | 17:1: limits.connections: is not a setting",
                "router = \"round-robin\" | router = \"random\"   | 19:1: experiment.router: must be better-of-two",
                "token = \"t\"           | #                       | 6:1: operators.token: is missing",
                "address = \"127.0.0.1:6\" | address = \"127.0.0.1\" | 13:1: platform.address: an address must be host:port",
            })
    void namesThePlaceOfAnError(String good, String bad, String expected) throws IOException {
        assertThat(GOOD).contains(good);
        SettingsError error = read(GOOD.replace(good, bad)).getLeft();
        assertThat(error.toString()).startsWith(error.file() + ":" + expected).doesNotContain("\n");
    }

    @Test
    void saysThatAFileIsMissing() {
        assertThat(SettingsFile.read(dir.resolve("none.toml")).getLeft().toString())
                .contains("none.toml:1:1: the file can't be read");
    }

    private io.vavr.control.Either<SettingsError, LoadedSettings> read(String text) throws IOException {
        return SettingsFile.read(Files.writeString(dir.resolve("node.toml"), text));
    }
}
