package review6;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a worker. What it does with a request is decided by its behaviour. */
final class Worker {
    /** Handles one request; returns whether the channel stays open. */
    interface Behaviour {
        boolean handle(Worker worker, Http.Message request, Socket socket) throws Exception;
    }

    final String id;
    final int port;
    final Record record;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    volatile Behaviour behaviour;

    /** After this time without a request, a channel is closed; 0: never. */
    volatile int idleMs;

    Worker(String id, Record record, Behaviour behaviour) throws IOException {
        this.id = id;
        this.record = record;
        this.behaviour = behaviour;
        ServerSocket server = new ServerSocket(0, 400, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        Record.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Record.daemon(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            while (true) {
                socket.setSoTimeout(idleMs);
                Http.Message request = Http.read(socket.getInputStream(), false);
                if (request == null || !request.complete()) {
                    return;
                }
                if (!behaviour.handle(this, request, socket)) {
                    return;
                }
            }
        }
    }

    /** Counts a run of a request. */
    int run(Http.Message request) {
        int n = runs.computeIfAbsent(request.header("request-id"), k -> new AtomicInteger()).incrementAndGet();
        return n;
    }

    int runs(String request) {
        AtomicInteger n = runs.get(request);
        return n == null ? 0 : n.get();
    }

    String entry(String service, boolean engine, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"howrah\",\"version\":\"1\",\"slots\":48,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + born
                + (engine ? ",\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "") + "}";
    }

    static byte[] answer(int status, String request, String worker, String more, byte[] body) {
        String head = "HTTP/1.1 " + status + " S\r\nRequest-Id: " + request + "\r\nResponse-Seal: " + worker + "." + status
                + "." + request + "\r\nContent-Length: " + body.length + "\r\n" + more + "\r\n";
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[h.length + body.length];
        System.arraycopy(h, 0, all, 0, h.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        return all;
    }

    static void send(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
    }
}
