package org.fuchsiadeck.node.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;

/** A server on a raw socket that does exactly what its script says. */
public final class FakeServer implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();
    public final List<Sockets.Message> received = new CopyOnWriteArrayList<>();

    /** Answers one request; closing the socket ends the connection. */
    @FunctionalInterface
    public interface Script {
        void serve(Sockets.Message request, Socket socket) throws IOException;
    }

    public FakeServer(Script script) throws IOException {
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        this.script = script;
        start(this::accept);
    }

    public Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    public int connections() {
        return accepted.get();
    }

    public boolean allClosed() {
        return open.isEmpty();
    }

    /** Returns the server as a backend server of a service with its name in lower case. */
    public Backend as(Backend.Kind kind) {
        return at(address(), kind);
    }

    /** Describes a server at an address. */
    public static Backend at(Address address, Backend.Kind kind) {
        return new Backend(
                new BackendId("b" + address.port()),
                address,
                new Zone("dumdum"),
                kind,
                kind.name().toLowerCase(java.util.Locale.ROOT),
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                8,
                1,
                true,
                false);
    }

    /** Returns the head of an answer that belongs to a request. */
    public static String head(Sockets.Message request, int status, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        head.append("X-Request-Id: ").append(request.header("X-Request-Id")).append("\r\n");
        head.append("X-Attempt: ").append(request.header("X-Attempt")).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return head + "\r\n";
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    public static void plain(Sockets.Message request, Socket socket, int status, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(socket, head(request, status, "Content-Type: application/json", "Content-Length: " + length) + body);
    }

    public static void streamHead(Sockets.Message request, Socket socket) throws IOException {
        write(socket, head(request, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"));
    }

    public static void chunk(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(socket, Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    public static void token(Socket socket, int index, String text) throws IOException {
        chunk(socket, "data: {\"i\":" + index + ",\"t\":\"" + text + "\"}\n\n");
    }

    public static void done(Socket socket, int tokens) throws IOException {
        chunk(socket, "data: {\"done\":true,\"tokens\":" + tokens + ",\"recomputed_tokens\":0}\n\n");
        write(socket, "0\r\n\r\n");
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                accepted.incrementAndGet();
                open.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (Sockets.Message m = Sockets.read(socket.getInputStream());
                    m != null;
                    m = Sockets.read(socket.getInputStream())) {
                received.add(m);
                script.serve(m, socket);
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (IOException e) {
            return;
        } finally {
            open.remove(socket);
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "fake-server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
