package org.fuchsiadeck.node.testing;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.fuchsiadeck.core.model.Address;

/** A caller on a raw socket. */
public final class Caller implements AutoCloseable {
    public final Socket socket;
    private final InputStream in;

    public Caller(Address address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(15_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public Caller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return this;
    }

    public Caller post(String path, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: node\r\n");
        head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length);
        for (String header : headers) {
            head.append("\r\n").append(header);
        }
        return send(head + "\r\n\r\n" + body);
    }

    public Caller get(String path, String... headers) throws IOException {
        return send("GET " + path + " HTTP/1.1\r\nHost: node\r\n" + String.join("\r\n", headers)
                + (headers.length > 0 ? "\r\n" : "") + "\r\n");
    }

    public Sockets.Message answer() throws IOException {
        return Sockets.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
