package review6;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts entry nodes as processes of their own, with the command of the deploy file and settings from its template. */
final class Nodes {
    /** A running node. */
    record Node(String name, int callers, int ready, Process process, Path log) {
        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }
    }

    private final Path root;
    private final Path folder;
    private final List<Node> all = new ArrayList<>();

    Nodes(Path root, Path folder) {
        this.root = root;
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    Node start(String name, String zone, int store, int cloud) throws Exception {
        int[] ports = freePorts(4);
        String text = Files.readString(root.resolve("deploy/node.toml.template"))
                .replace("{{node_name}}", name)
                .replace("{{zone}}", zone)
                .replace("{{listen_addrs.front}}", "127.0.0.1:" + ports[0])
                .replace("{{listen_addrs.ready}}", "127.0.0.1:" + ports[1])
                .replace("{{ip}}:{{internal_ports.1}}", "127.0.0.1:" + ports[2])
                .replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + ports[3])
                .replace("{{platform.address}}", "127.0.0.1:" + store)
                .replace("{{cloud_api.address}}", "127.0.0.1:" + cloud)
                .replace("{{bounds.grace_s}}", "8")
                .replace("{{bounds.quota_window_s}}", "8")
                .replace("{{bounds.quota_overage}}", "0.1")
                .replace("{{bounds.quota_slack}}", "190000")
                .replace("{{bounds.budget_window_s}}", "10")
                .replace("{{bounds.retry_budget_ratio}}", "0.2")
                .replace("{{bounds.retry_slack}}", "58")
                .replace("{{bounds.window_s}}", "5")
                .replace("{{bounds.lease_ms}}", "3000")
                .replace("{{bounds.usage_late_s}}", "10");
        if (text.contains("{{")) {
            throw new IOException("a field of the template has no value: " + text);
        }
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, text);
        Path log = folder.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        for (String word : runCommand().split(" ")) {
            command.add(word.equals("/etc/fuchsiadeck/local.yaml") ? settings.toString() : word);
        }
        Process process = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        Node node = new Node(name, ports[0], ports[1], process, log);
        all.add(node);
        return node;
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.length() - 1);
            }
        }
        throw new IOException("the deploy file has no run command");
    }

    /** Waits until a node answers that it is ready. */
    static boolean awaitReady(Node node, long withinMs) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        while (System.nanoTime() < end) {
            if (isReady(node)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    static boolean isReady(Node node) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.ready())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void stop() {
        all.forEach(n -> n.process().destroyForcibly());
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    static Path root() {
        return new File(System.getProperty("review.root", ".")).toPath().toAbsolutePath().normalize();
    }
}
