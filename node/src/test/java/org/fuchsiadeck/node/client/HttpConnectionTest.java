package org.fuchsiadeck.node.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.core.model.Address;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpConnectionTest {
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf and half";

    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private HttpClient client;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        client = HttpClient.start();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    @Test
    void takesAnAnswerWithoutLengthAsWholeWhenItsConnectionCloses() throws Exception {
        request();
        try (Socket socket = server.accept()) {
            answer(socket, UNFRAMED);
        }
        assertThat(last()).isEqualTo("end");
    }

    @Test
    void takesAnAnswerWithoutLengthAsLostWhenItsConnectionIsReset() throws Exception {
        request();
        try (Socket socket = server.accept()) {
            answer(socket, UNFRAMED);
            assertThat(next()).isEqualTo("body");
            socket.setSoLinger(true, 0);
        }
        assertThat(next()).isEqualTo("lost");
    }

    @Test
    void takesAnAnswerCutBeforeItsLengthAsLost() throws Exception {
        request();
        try (Socket socket = server.accept()) {
            answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
        }
        assertThat(last()).isEqualTo("lost");
    }

    @Test
    void keepsNoConnectionLongerThanItsServerSays() throws Exception {
        BlockingQueue<HttpConnection> opened = request();
        try (Socket socket = server.accept()) {
            answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n");
            assertThat(next()).isEqualTo("end");
            HttpConnection connection = opened.take();
            assertThat(connection.isReusable()).isTrue();
            Thread.sleep(800);
            assertThat(connection.isReusable()).isFalse();
        }
    }

    private BlockingQueue<HttpConnection> request() {
        BlockingQueue<HttpConnection> opened = new LinkedBlockingQueue<>();
        Address address = new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
        client.connect(address, new ConnectHandler() {
            @Override
            public void onConnected(HttpConnection connection) {
                opened.add(connection);
                HttpRequestPacket head = HttpRequestPacket.builder()
                        .method("GET")
                        .uri("/")
                        .protocol(Protocol.HTTP_1_1)
                        .header("Host", "test")
                        .build();
                connection.send(HttpContent.builder(head).last(true).build(), new Listener());
            }

            @Override
            public void onFailed(String detail) {
                seen.add("failed");
            }
        });
        return opened;
    }

    private String next() throws InterruptedException {
        return seen.poll(5, TimeUnit.SECONDS);
    }

    private String last() throws InterruptedException {
        String event = next();
        return "body".equals(event) ? next() : event;
    }

    private static void answer(Socket socket, String text) throws IOException {
        socket.getInputStream().read(new byte[4_096]);
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private final class Listener implements ResponseListener {
        @Override
        public void onHead(HttpResponsePacket head) {}

        @Override
        public void onBody(Buffer part) {
            seen.add("body");
        }

        @Override
        public void onEnd() {
            seen.add("end");
        }

        @Override
        public void onMalformed(String detail) {
            seen.add("broken");
        }

        @Override
        public void onLost(String detail) {
            seen.add("lost");
        }
    }
}
