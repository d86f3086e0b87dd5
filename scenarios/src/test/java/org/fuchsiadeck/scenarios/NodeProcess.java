package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** One entry node as a process of its own. */
final class NodeProcess implements AutoCloseable {
    static final String TOKEN = "scenario-token";

    private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
    private static final long STOP_LIMIT_S = 30;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient HTTP =
            HttpClient.newBuilder().connectTimeout(CALL_LIMIT).build();

    private final NodePlan plan;
    private final Path log;
    private final Process process;

    private NodeProcess(NodePlan plan, Path log, Process process) {
        this.plan = plan;
        this.log = log;
        this.process = process;
    }

    static NodeProcess start(NodePlan plan, Path folder) {
        try {
            Path settings = folder.resolve(plan.id() + ".toml");
            Path log = folder.resolve(plan.id() + ".log");
            Files.writeString(settings, plan.settings());
            List<String> command = List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx192m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "org.fuchsiadeck.cli.Main",
                    "node",
                    "--settings",
                    settings.toString());
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            // Tests that are interrupted leave no process behind.
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            return new NodeProcess(plan, log, process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    NodePlan plan() {
        return plan;
    }

    void awaitReady() {
        Waiting.until(plan.id() + " is ready; its log is\n" + log(), () -> ready() || !process.isAlive());
        if (!process.isAlive()) {
            throw new AssertionError(plan.id() + " ended with " + process.exitValue() + "\n" + log());
        }
    }

    boolean ready() {
        return get("/ready").status() == 200;
    }

    JsonNode dump() {
        try {
            return JSON.readTree(get("/dump").body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long configRevision() {
        return dump().path("config_revision").asLong(-1);
    }

    /** Gives the addresses to which the node keeps idle connections. */
    Set<String> idleConnections() {
        Set<String> addresses = new TreeSet<>();
        dump().path("idle_connections").fields().forEachRemaining(e -> {
            if (e.getValue().asInt() > 0) {
                addresses.add(e.getKey());
            }
        });
        return addresses;
    }

    /** Tells whether the node knows a backend server. */
    boolean knows(String backend) {
        return dump().at("/state/requests/fleet/servers").has(backend);
    }

    /** Gives the backend servers that the node knows to leave. */
    Set<String> departures() {
        Set<String> ids = new TreeSet<>();
        dump().at("/state/requests/fleet/departures").fieldNames().forEachRemaining(ids::add);
        return ids;
    }

    /** Gives the nodes of each roster of the idempotency keys in force, the newest last. */
    List<Set<String>> keepers() {
        List<Set<String>> keepers = new ArrayList<>();
        for (JsonNode roster : dump().at("/state/claims/chain/rosters")) {
            Set<String> ids = new TreeSet<>();
            roster.path("members").fieldNames().forEachRemaining(ids::add);
            keepers.add(ids);
        }
        return keepers;
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    void pause() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    boolean alive() {
        return process.isAlive();
    }

    int awaitExit() {
        try {
            if (!process.waitFor(STOP_LIMIT_S, TimeUnit.SECONDS)) {
                throw new AssertionError(plan.id() + " does not end\n" + log());
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    String log() {
        try {
            return Files.exists(log) ? Files.readString(log) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }

    private void signal(String name) {
        try {
            String pid = Long.toString(process.pid());
            int code = new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
            if (code != 0) {
                throw new IllegalStateException("kill -" + name + " ended with " + code);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private Reply get(String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + plan.operatorPort() + path))
                .header("Authorization", "Bearer " + TOKEN)
                .timeout(CALL_LIMIT)
                .build();
        try {
            var answer = HTTP.send(request, BodyHandlers.ofString());
            return new Reply(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Reply(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private record Reply(int status, String body) {}
}
