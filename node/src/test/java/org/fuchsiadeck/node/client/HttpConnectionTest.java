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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a truncated response being taken as complete, and against the reuse of a connection that its server is
 * about to close.
 */
class HttpConnectionTest {
    private static final String RESPONSE_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf and half";

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
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
    void completesResponseWithoutLengthWhenConnectionCloses() throws Exception {
        sendRequest();
        try (Socket socket = server.accept()) {
            respond(socket, RESPONSE_WITHOUT_LENGTH);
        }
        assertThat(eventAfterBody()).isEqualTo("end");
    }

    @Test
    void reportsResponseWithoutLengthAsLostWhenConnectionIsReset() throws Exception {
        sendRequest();
        try (Socket socket = server.accept()) {
            respond(socket, RESPONSE_WITHOUT_LENGTH);
            assertThat(nextEvent()).isEqualTo("body");
            socket.setSoLinger(true, 0);
        }
        assertThat(nextEvent()).isEqualTo("lost");
    }

    @Test
    void reportsTruncatedResponseAsLost() throws Exception {
        sendRequest();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
        }
        assertThat(eventAfterBody()).isEqualTo("lost");
    }

    @Test
    void doesNotReuseConnectionBeyondKeepAliveTimeoutOfServer() throws Exception {
        BlockingQueue<HttpConnection> opened = sendRequest();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n");
            assertThat(nextEvent()).isEqualTo("end");
            HttpConnection connection = opened.take();
            assertThat(connection.isReusable()).isTrue();
            Thread.sleep(800);
            assertThat(connection.isReusable()).isFalse();
        }
    }

    /** A response that other readers end elsewhere was taken as complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 1\r\nContent-Length: 2",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding : chunked"
            })
    void reportsResponseWithAmbiguousLengthAsMalformed(String framing) throws Exception {
        sendRequest();
        try (Socket socket = server.accept()) {
            respond(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
            assertThat(nextEvent()).isEqualTo("broken");
        }
    }

    private BlockingQueue<HttpConnection> sendRequest() {
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
                connection.send(HttpContent.builder(head).last(true).build(), new RecordingListener());
            }

            @Override
            public void onFailed(String detail) {
                events.add("failed");
            }
        });
        return opened;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(5, TimeUnit.SECONDS);
    }

    private String eventAfterBody() throws InterruptedException {
        String event = nextEvent();
        return "body".equals(event) ? nextEvent() : event;
    }

    private static void respond(Socket socket, String text) throws IOException {
        socket.getInputStream().read(new byte[4_096]);
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private final class RecordingListener implements ResponseListener {
        @Override
        public void onHead(HttpResponsePacket head) {}

        @Override
        public void onBody(Buffer part) {
            events.add("body");
        }

        @Override
        public void onEnd() {
            events.add("end");
        }

        @Override
        public void onMalformed(String detail) {
            events.add("broken");
        }

        @Override
        public void onLost(String detail) {
            events.add("lost");
        }
    }
}
