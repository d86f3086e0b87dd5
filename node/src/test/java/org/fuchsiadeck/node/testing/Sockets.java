package org.fuchsiadeck.node.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.core.model.Address;

/** Reads and writes HTTP on raw sockets. */
public final class Sockets {
    /** Below the ports that the system gives to outgoing connections, which could take a free one before its use. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(10_000 + (int) (ProcessHandle.current().pid() % 100) * 100);

    private Sockets() {}

    /** A message read from a socket. */
    public record Message(String start, Map<String, String> headers, byte[] body) {
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Returns an address of this host whose port is free. */
    public static Address freeAddress() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return new Address("127.0.0.1", socket.getLocalPort());
            } catch (BindException e) {
                continue;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Reads one message; null at the end of the stream before its first byte. */
    public static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            return new Message(start, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Message(start, headers, in.readNBytes(length));
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new IOException("cut");
            }
            int length = Integer.parseInt(size.trim(), 16);
            all.write(in.readNBytes(length));
            line(in);
            if (length == 0) {
                return all.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b >= 0 && b != '\n'; b = in.read()) {
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).replace("\r", "");
    }
}
