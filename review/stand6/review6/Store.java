package review6;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for the platform's metadata store and its duty endpoints. Each machine calls it at a port of its own, so that a
 * fault can be given to one machine.
 */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What happens to calls of one machine. */
    enum Fault {
        NONE,
        BUSY,
        SILENT,
        RESET
    }

    /** Decides on each call; called with the path, the body and the port's name. */
    interface Hook {
        /** Returns whether the answer is to be kept back after the call was executed. */
        boolean loseAnswer(String port, String path, JsonNode body);

        /** Returns after how many milliseconds the call is executed, without an answer; 0 for at once. */
        default long lateMs(String port, String path, JsonNode body) {
            return 0;
        }
    }

    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final TreeMap<Long, ObjectNode> changes = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final Map<String, Fault> faults = new ConcurrentHashMap<>();
    private final Record record;
    private long revision = 10;
    private long nextLease = 100;
    volatile Hook hook = (port, path, body) -> false;
    volatile boolean recordWrites;

    Store(Record record) {
        this.record = record;
        Record.daemon(() -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    /** Opens a port for one machine. */
    int open(String name) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Record.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Record.daemon(() -> serve(name, socket));
            }
        });
        return server.getLocalPort();
    }

    void fault(String name, Fault fault) {
        faults.put(name, fault);
    }

    private void serve(String name, Socket socket) throws Exception {
        try (socket) {
            while (true) {
                Http.Message call = Http.read(socket.getInputStream(), false);
                if (call == null) {
                    return;
                }
                Fault fault = faults.getOrDefault(name, Fault.NONE);
                if (fault == Fault.RESET) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (fault == Fault.SILENT) {
                    Thread.sleep(60_000);
                    return;
                }
                if (fault == Fault.BUSY) {
                    write(socket, 503, JSON.createObjectNode());
                    continue;
                }
                answer(name, socket, call);
                if ("close".equalsIgnoreCase(call.header("connection"))) {
                    return;
                }
            }
        } catch (IOException e) {
            return;
        }
    }

    private void answer(String name, Socket socket, Http.Message call) throws Exception {
        String[] target = call.start().split(" ")[1].split("\\?", 2);
        String path = target[0];
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
            }
        }
        JsonNode body = call.body().length == 0 ? JSON.createObjectNode() : JSON.readTree(call.body());
        if (path.equals("/usage") || path.equals("/scale")) {
            record.line("duty " + path + " from " + name + " holder " + call.header("duty-holder") + " token "
                    + call.header("fence-token") + " " + call.text());
            write(socket, 200, JSON.createObjectNode());
            return;
        }
        if (path.equals("/kv-watch")) {
            watch(name, socket, query);
            return;
        }
        ObjectNode out = JSON.createObjectNode();
        long lateMs = hook.lateMs(name, path, body);
        if (lateMs > 0) {
            Thread.sleep(lateMs);
            record.line("store executes a call of " + name + " only now, status " + execute(path, query, body, out));
            Thread.sleep(60_000);
            return;
        }
        int status = execute(path, query, body, out);
        if (hook.loseAnswer(name, path, body)) {
            Thread.sleep(60_000);
            return;
        }
        write(socket, status, out);
    }

    private synchronized int execute(String path, Map<String, String> query, JsonNode body, ObjectNode out) {
        expire();
        if (path.equals("/kv-key")) {
            ObjectNode item = items.get(query.get("key"));
            if (item != null) {
                out.setAll(item);
            }
            out.put("store_revision", revision);
            return item == null ? 404 : 200;
        }
        if (path.equals("/kv-range")) {
            ArrayNode list = out.putArray("items");
            items.tailMap(query.get("prefix")).values().stream()
                    .filter(i -> i.path("key").asText().startsWith(query.get("prefix")))
                    .forEach(list::add);
            out.put("has_more", false).put("store_revision", revision);
            return 200;
        }
        if (path.equals("/kv-txn")) {
            return transaction(body, out);
        }
        if (path.equals("/kv-lease")) {
            long ttl = Math.max(1_000, body.path("ttl_ms").asLong());
            leases.put(nextLease, new long[] {System.nanoTime() / 1_000_000 + ttl, ttl});
            out.put("lease", nextLease++).put("ttl_ms", ttl);
            return 200;
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/kv-keep/")) {
            long[] lease = leases.get(id);
            if (lease == null) {
                return 404;
            }
            lease[0] = System.nanoTime() / 1_000_000 + lease[1];
            return 200;
        }
        if (path.startsWith("/kv-lease-end/") && leases.containsKey(id)) {
            leases.get(id)[0] = 0;
            expire();
            return 200;
        }
        return 404;
    }

    private int transaction(JsonNode body, ObjectNode out) {
        for (JsonNode write : body.path("writes")) {
            if (write.path("lease").asLong() > 0 && !leases.containsKey(write.path("lease").asLong())) {
                return 404;
            }
        }
        boolean holds = true;
        for (JsonNode row : body.path("if_rev")) {
            ObjectNode item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.path("rev").asLong()) == row.path("rev").asLong();
        }
        if (!holds) {
            ArrayNode current = out.putArray("items");
            for (JsonNode row : body.path("if_rev")) {
                ObjectNode item = items.get(row.path("key").asText());
                if (item != null) {
                    current.add(item);
                }
            }
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            set(
                    write.path("key").asText(),
                    write.path("value").asText(),
                    write.path("lease").asLong());
        }
        body.path("remove").forEach(k -> drop(k.asText()));
        out.put("rev", revision);
        return 200;
    }

    private void set(String key, String encoded, long lease) {
        revision++;
        ObjectNode before = items.get(key);
        ObjectNode item = JSON.createObjectNode().put("key", key).put("value", encoded).put("rev", revision);
        item.put("created_rev", before == null ? revision : before.path("created_rev").asLong()).put("lease", lease);
        items.put(key, item);
        changes.put(revision, item);
        if (recordWrites) {
            String text = new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8);
            record.line("store " + key + " rev " + revision + " = " + text.replace('\n', '|').replace('\t', ' '));
        }
        notifyAll();
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.put(
                    revision,
                    JSON.createObjectNode().put("key", key).put("rev", revision).put("removed", true));
            if (recordWrites) {
                record.line("store " + key + " rev " + revision + " removed");
            }
            notifyAll();
        }
    }

    /** Writes a key as the operator and the workers do. */
    synchronized void put(String key, String value) {
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        drop(key);
    }

    synchronized String value(String key) {
        ObjectNode item = items.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.path("value").asText()), StandardCharsets.UTF_8);
    }

    private synchronized void expire() {
        long now = System.nanoTime() / 1_000_000;
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, l) -> {
            if (l[0] <= now) {
                ended.add(id);
            }
        });
        for (Long id : ended) {
            leases.remove(id);
            List<String> keys = items.values().stream()
                    .filter(i -> i.path("lease").asLong() == id)
                    .map(i -> i.path("key").asText())
                    .toList();
            keys.forEach(this::drop);
        }
    }

    private void watch(String name, Socket socket, Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ObjectNode out = JSON.createObjectNode();
        synchronized (this) {
            while (true) {
                ArrayNode events = out.putArray("events");
                changes.tailMap(after, false).values().stream()
                        .filter(i -> i.path("key").asText().startsWith(query.get("prefix")))
                        .forEach(events::add);
                long left = end - System.nanoTime() / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    out.put("store_revision", revision);
                    break;
                }
                wait(left);
            }
        }
        if (faults.getOrDefault(name, Fault.NONE) != Fault.NONE) {
            Thread.sleep(60_000);
        }
        write(socket, 200, out);
    }

    private static void write(Socket socket, int status, ObjectNode json) throws IOException {
        byte[] bytes = json.toString().getBytes(StandardCharsets.UTF_8);
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                + "\r\n\r\n";
        byte[] all = new byte[head.length() + bytes.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
        System.arraycopy(bytes, 0, all, head.length(), bytes.length);
        out.write(all);
        out.flush();
    }
}
