package org.fuchsiadeck.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiadeck.node.testing.Sockets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class NodeDaemonTest {
    @TempDir
    private Path dir;

    @Test
    void exitsWithOneLineAtThePlaceOfAnAddressInUse() throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Path file = Files.writeString(dir.resolve("node.toml"), settings("127.0.0.1:" + used.getLocalPort()));
            Outcome outcome = run(file);
            assertThat(outcome.code()).isEqualTo(NodeDaemon.EXIT_BAD_SETTINGS);
            assertThat(outcome.errors())
                    .startsWith(file + ":3:1: callers.address: can't be opened")
                    .hasLineCount(1);
        }
    }

    @Test
    void exitsWithOneLineAtThePlaceOfABadSetting() throws Exception {
        Path file = Files.writeString(dir.resolve("node.toml"), settings("nowhere"));
        Outcome outcome = run(file);
        assertThat(outcome.code()).isEqualTo(NodeDaemon.EXIT_BAD_SETTINGS);
        assertThat(outcome.errors())
                .contains("callers.address: an address must be host:port")
                .hasLineCount(1);
    }

    private record Outcome(int code, String errors) {}

    private static Outcome run(Path file) {
        PrintStream before = System.err;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            return new Outcome(NodeDaemon.run(file), errors.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(before);
        }
    }

    private static String settings(String callers) {
        return "id = \"n1\"\nzone = \"z\"\ncallers.address = \"" + callers + "\"\n"
                + "operators = { address = \"" + Sockets.freeAddress() + "\", token = \"t\" }\n"
                + "peers.address = \"127.0.0.1:1\"\nplatform.address = \"127.0.0.1:1\"\n"
                + "cloud.address = \"127.0.0.1:1\"\n";
    }
}
