import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Stand-ins for the platform's store and duty calls, for workers and consumers, and the processes of entry nodes. */
final class Stand implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    static final long START = System.nanoTime();

    final List<String> record = Collections.synchronizedList(new ArrayList<>());
    final Deque<AutoCloseable> open = new ArrayDeque<>();
    final Path folder;

    Stand(Path folder) {
        this.folder = folder;
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    void note(String format, Object... args) {
        record.add(String.format(Locale.ROOT, "%7d ", now()) + String.format(Locale.ROOT, format, args));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean await(long ms, BooleanSupplier condition) {
        long end = now() + ms;
        while (!condition.getAsBoolean()) {
            if (now() > end) {
                return false;
            }
            sleep(5);
        }
        return true;
    }

    @Override
    public void close() {
        while (!open.isEmpty()) {
            try {
                open.pop().close();
            } catch (Exception e) {
                note("close: %s", e);
            }
        }
    }

    /** An HTTP message as read from a connection. */
    static final class Message {
        String start = "";
        final Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        boolean whole;

        String header(String name) {
            List<String> all = headers.get(name);
            return all == null ? null : all.get(0);
        }

        int status() {
            String[] parts = start.split(" ");
            return parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null if the connection ended before it was whole. */
    static Message head(InputStream in) throws IOException {
        Message m = new Message();
        m.start = line(in);
        if (m.start == null) {
            return null;
        }
        while (true) {
            String l = line(in);
            if (l == null) {
                return null;
            }
            if (l.isEmpty()) {
                return m;
            }
            int colon = l.indexOf(':');
            m.headers
                    .computeIfAbsent(l.substring(0, Math.max(0, colon)).trim(), k -> new ArrayList<>())
                    .add(l.substring(colon + 1).trim());
        }
    }

    /** Reads the body; sets {@code whole} if it came to its end. */
    static void body(InputStream in, Message m, boolean answer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String coding = m.header("Transfer-Encoding");
        String length = m.header("Content-Length");
        try {
            if (coding != null && coding.contains("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        return;
                    }
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (n == 0) {
                        m.whole = "".equals(line(in));
                        return;
                    }
                    byte[] part = in.readNBytes(n);
                    out.write(part);
                    if (part.length < n || line(in) == null) {
                        return;
                    }
                }
            } else if (length != null) {
                byte[] all = in.readNBytes(Integer.parseInt(length));
                out.write(all);
                m.whole = all.length == Integer.parseInt(length);
            } else if (answer) {
                out.write(in.readAllBytes());
                m.whole = true;
            } else {
                m.whole = true;
            }
        } finally {
            m.body = out.toByteArray();
        }
    }

    /** What a connection is given to. */
    interface Handler {
        void handle(Message m, Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** What a server takes for a request; it refuses others, as a sound one does. */
    private static final String REQUEST_LINE = "(GET|POST|DELETE) \\S+ HTTP/1\\.1";

    /** A server that reads requests one after the other from each connection. */
    final class Server implements AutoCloseable {
        final ServerSocket socket;
        final Handler handler;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            this.socket = new ServerSocket(0, 500, LOOPBACK);
            open.push(this);
            THREADS.execute(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket s = socket.accept();
                    s.setTcpNoDelay(true);
                    sockets.add(s);
                    THREADS.execute(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
                while (!s.isClosed()) {
                    Message m = head(in);
                    if (m == null) {
                        return;
                    }
                    if (!m.start.matches(REQUEST_LINE)) {
                        note("%s refuses \"%s\"", address(), m.start);
                        answer(s.getOutputStream(), 400, "Not-Executed: 1\r\nConnection: close\r\n", new byte[0]);
                        return;
                    }
                    body(in, m, false);
                    if (!m.whole) {
                        return;
                    }
                    handler.handle(m, s, in, s.getOutputStream());
                }
            } catch (Exception e) {
                // The connection ended.
            } finally {
                sockets.remove(s);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** The platform's store and its duty calls. Each node may be given a port of its own, with its own faults. */
    final class Platform {
        final TreeMap<String, ObjectNode> items = new TreeMap<>();
        final TreeMap<Long, ObjectNode> changes = new TreeMap<>();
        final Map<Long, long[]> leases = new HashMap<>();
        long revision = 100;

        Platform() {
            THREADS.execute(() -> {
                while (true) {
                    sleep(20);
                    expire();
                }
            });
        }

        /** A port of the platform for one node. */
        final class Port {
            final Server server;
            /** Decides what becomes of a call: false drops it without an answer, before it is done. */
            volatile java.util.function.BiFunction<String, Message, Boolean> before = (call, m) -> true;
            /** False loses the answer of a call that was done. */
            volatile java.util.function.BiFunction<String, Message, Boolean> after = (call, m) -> true;

            Port() throws IOException {
                server = new Server(this::handle);
            }

            private void handle(Message m, Socket s, InputStream in, OutputStream out) throws Exception {
                String call = m.start.split(" ")[0] + " " + m.start.split(" ")[1];
                if (!before.apply(call, m)) {
                    sleep(60_000);
                    return;
                }
                Object[] result = run(call, m);
                if (!after.apply(call, m)) {
                    sleep(60_000);
                    return;
                }
                sleep(2);
                answer(out, (int) result[0], "Content-Type: application/json\r\n",
                        result[1].toString().getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized long put(String key, String value, long lease) {
            revision++;
            ObjectNode old = items.get(key);
            ObjectNode item = JSON.createObjectNode()
                    .put("key", key)
                    .put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)))
                    .put("rev", revision)
                    .put("created_rev", old == null ? revision : old.path("created_rev").asLong())
                    .put("lease", lease);
            items.put(key, item);
            changes.put(revision, item);
            notifyAll();
            return revision;
        }

        synchronized void remove(String key) {
            if (items.remove(key) != null) {
                revision++;
                changes.put(revision, JSON.createObjectNode().put("key", key).put("rev", revision).put("removed", true));
                notifyAll();
            }
        }

        synchronized String value(String key) {
            ObjectNode i = items.get(key);
            return i == null ? null
                    : new String(Base64.getDecoder().decode(i.path("value").asText()), StandardCharsets.UTF_8);
        }

        synchronized void expire() {
            leases.entrySet().removeIf(e -> {
                if (now() < e.getValue()[1]) {
                    return false;
                }
                endLease(e.getKey());
                return true;
            });
        }

        private void endLease(long lease) {
            List<String> keys = new ArrayList<>();
            items.forEach((k, i) -> {
                if (i.path("lease").asLong() == lease) {
                    keys.add(k);
                }
            });
            keys.forEach(this::remove);
        }

        private Object[] run(String call, Message m) throws Exception {
            String target = call.split(" ")[1];
            String path = target.split("\\?")[0];
            Map<String, String> query = new HashMap<>();
            if (target.contains("?")) {
                for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                    String[] kv = pair.split("=", 2);
                    query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
                }
            }
            JsonNode body = m.body.length == 0 ? JSON.createObjectNode() : JSON.readTree(m.body);
            if (path.equals("/usage") || path.equals("/scale")) {
                note("platform %s holder=%s token=%s %s", path, m.header("Duty-Holder"), m.header("Fence-Token"),
                        m.text());
                return new Object[] {200, JSON.createObjectNode()};
            }
            if (path.equals("/kv-watch")) {
                return watch(query.get("prefix"), Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait_ms")));
            }
            synchronized (this) {
                expire();
                ObjectNode out = JSON.createObjectNode();
                if (path.equals("/kv-key")) {
                    ObjectNode i = items.get(query.get("key"));
                    return new Object[] {i == null ? 404 : 200,
                            (i == null ? out : i.deepCopy()).put("store_revision", revision)};
                }
                if (path.equals("/kv-range")) {
                    ArrayNode list = out.put("has_more", false).put("store_revision", revision).putArray("items");
                    items.forEach((k, i) -> {
                        if (k.startsWith(query.get("prefix"))) {
                            list.add(i);
                        }
                    });
                    return new Object[] {200, out};
                }
                if (path.equals("/kv-lease")) {
                    revision++;
                    long ttl = Math.max(1000, body.path("ttl_ms").asLong());
                    leases.put(revision, new long[] {ttl, now() + ttl});
                    return new Object[] {200, out.put("lease", revision).put("ttl_ms", ttl)};
                }
                if (path.startsWith("/kv-keep/")) {
                    long[] lease = leases.get(Long.parseLong(path.substring(9)));
                    if (lease == null) {
                        return new Object[] {404, out};
                    }
                    lease[1] = now() + lease[0];
                    return new Object[] {200, out.put("ttl_ms", lease[0])};
                }
                if (path.startsWith("/kv-lease-end/")) {
                    long id = Long.parseLong(path.substring(14));
                    boolean there = leases.remove(id) != null;
                    endLease(id);
                    return new Object[] {there ? 200 : 404, out};
                }
                return txn(body, out);
            }
        }

        private Object[] txn(JsonNode body, ObjectNode out) {
            for (JsonNode c : body.path("if_rev")) {
                ObjectNode i = items.get(c.path("key").asText());
                if ((i == null ? 0 : i.path("rev").asLong()) != c.path("rev").asLong()) {
                    out.putArray("items").add(i == null
                            ? JSON.createObjectNode().put("key", c.path("key").asText()).put("rev", 0) : i);
                    return new Object[] {412, out};
                }
            }
            for (JsonNode w : body.path("writes")) {
                if (w.path("lease").asLong() != 0 && !leases.containsKey(w.path("lease").asLong())) {
                    return new Object[] {404, out};
                }
            }
            body.path("writes").forEach(w -> put(w.path("key").asText(),
                    new String(Base64.getDecoder().decode(w.path("value").asText()), StandardCharsets.UTF_8),
                    w.path("lease").asLong()));
            body.path("remove").forEach(k -> remove(k.asText()));
            return new Object[] {200, out.put("rev", revision)};
        }

        private Object[] watch(String prefix, long after, long waitMs) throws InterruptedException {
            long end = now() + waitMs;
            synchronized (this) {
                ArrayNode events = JSON.createArrayNode();
                while (true) {
                    changes.tailMap(after, false).forEach((r, i) -> {
                        if (i.path("key").asText().startsWith(prefix)) {
                            events.add(i);
                        }
                    });
                    long left = end - now();
                    if (!events.isEmpty() || left <= 0) {
                        break;
                    }
                    wait(left);
                }
                ObjectNode out = JSON.createObjectNode().put("store_revision", revision);
                out.set("events", events);
                return new Object[] {200, out};
            }
        }
    }

    /** Registers a worker in the store and renews nothing: entries stay until they are removed. */
    static String entry(String service, String address, boolean engine, int slots, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0"
                + (engine ? ",\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "")
                + ",\"born\":" + born + ",\"sequence\":1}";
    }

    static String route(String name, String kind, String service, int attempts, long timeoutMs, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":" + kind.equals("stream")
                + ",\"can_resume\":" + resume + ",\"gap_aim_ms\":400}";
    }

    static String config(int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"eng\",\"health_path\":\"/health\",\"max_connections\":310,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv_tokens\":444000,"
                + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"app\",\"health_path\":\"/health\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,"
                + "\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":1000000,\"burst\":1000000}]}";
    }

    /** An entry node in a process of its own. */
    final class Node implements AutoCloseable {
        final String id;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int peer = freePort();
        final Path settings;
        final Path log;
        final Platform.Port port;
        Process process;

        Node(String id, Platform.Port port) throws IOException {
            this.id = id;
            this.port = port;
            this.settings = folder.resolve(id + ".toml");
            this.log = folder.resolve(id + ".log");
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", id);
            values.put("zone", "z1");
            values.put("bounds.grace_s", "8");
            values.put("listen_addrs.front", "127.0.0.1:" + front);
            values.put("listen_addrs.ready", "127.0.0.1:" + ready);
            values.put("{{ip}}:{{internal_ports.1}}", "127.0.0.1:" + control);
            values.put("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + peer);
            values.put("platform.address", port.server.address());
            values.put("cloud_api.address", port.server.address());
            values.put("bounds.quota_window_s", "8");
            values.put("bounds.quota_overage", "0.1");
            values.put("bounds.quota_slack", "190000");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_slack", "58");
            values.put("bounds.window_s", "5");
            values.put("bounds.lease_ms", "3000");
            values.put("bounds.usage_late_s", "10");
            String text = Files.readString(Path.of("deploy/node.toml.template"));
            for (Map.Entry<String, String> v : values.entrySet()) {
                String name = v.getKey().startsWith("{{") ? v.getKey() : "{{" + v.getKey() + "}}";
                text = text.replace(name, v.getValue());
            }
            Files.writeString(settings, text);
            open.push(this);
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("no run command in deploy/system.toml");
            }
            List<String> command = new ArrayList<>();
            command.addAll(List.of(run.group(1).replace("/etc/fuchsiadeck/local.yaml", settings.toString()).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("FUCHSIADECK_SETTINGS", settings.toString());
            process = builder.start();
            note("node %s started, pid %d", id, process.pid());
        }

        boolean awaitReady(long ms) {
            return await(ms, () -> {
                try {
                    return isReady();
                } catch (IOException e) {
                    return false;
                }
            });
        }

        boolean isReady() throws IOException {
            Message m = send("127.0.0.1:" + ready, "GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 1000);
            return m != null && m.status() == 200;
        }

        void signal(String name) throws Exception {
            note("signal %s to %s", name, id);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        String front() {
            return "127.0.0.1:" + front;
        }

        @Override
        public void close() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    private static final Set<Integer> USED = new HashSet<>();

    static synchronized int freePort() {
        while (true) {
            int port = 20_000 + (int) (Math.random() * 12_000);
            if (!USED.add(port)) {
                continue;
            }
            try (ServerSocket s = new ServerSocket(port, 1, LOOPBACK)) {
                return port;
            } catch (IOException e) {
                continue;
            }
        }
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress(LOOPBACK, Integer.parseInt(address.substring(colon + 1))), 1000);
        s.setSoTimeout(timeoutMs);
        return s;
    }

    /** Sends a request on a new connection; null if the connection ended before the head of an answer. */
    static Message send(String address, String request, int timeoutMs) throws IOException {
        try (Socket s = connect(address, timeoutMs)) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(s.getInputStream());
            Message m = head(in);
            if (m != null) {
                body(in, m, true);
            }
            return m;
        }
    }

    static String request(String method, String path, String id, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nAuthorization: Bearer key1\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Starts a case: its folder for settings and logs, and a watchdog that ends it before the time of a script is over. */
    static Stand begin(Path recordFile) throws IOException {
        Stand stand = new Stand(Files.createTempDirectory("review"));
        Thread.setDefaultUncaughtExceptionHandler((t, e) -> {
            e.printStackTrace();
            if (t.getName().equals("main")) {
                System.exit(2);
            }
        });
        THREADS.execute(() -> {
            sleep(110_000);
            try {
                stand.finish(recordFile, 2, "the case did not end in time");
            } catch (IOException e) {
                System.exit(2);
            }
        });
        Runtime.getRuntime().addShutdownHook(new Thread(stand::close));
        return stand;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Starts entry nodes and waits until all are ready; ends the case if they don't start. */
    List<Node> nodes(Platform platform, int count, Path recordFile) throws IOException {
        List<Node> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(new Node("front-" + i, platform.new Port()));
        }
        for (Node n : all) {
            n.start();
        }
        for (Node n : all) {
            if (!n.awaitReady(30_000)) {
                finish(recordFile, 2, "node " + n.id + " did not become ready");
            }
        }
        return all;
    }

    private void deleteFolder() throws IOException {
        try (java.util.stream.Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** Writes the record and ends the process. */
    void finish(Path file, int code, String verdict) throws IOException {
        note("RESULT %d %s", code, verdict);
        close();
        deleteFolder();
        synchronized (record) {
            Files.write(file, record);
        }
        System.out.println(verdict);
        System.exit(code);
    }
}
