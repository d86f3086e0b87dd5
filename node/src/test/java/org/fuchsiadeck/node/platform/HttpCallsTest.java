package org.fuchsiadeck.node.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.testing.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

/** A service whose answers have no end, or two. */
class HttpCallsTest {
    private static final int CALLS = 12;
    private static final int PART_BYTES = 3 << 20;
    private static final int REQUEST_BYTES = 4_096;
    private static final long LONG_MS = 600_000;

    private final CountDownLatch released = new CountDownLatch(1);
    private HttpCalls calls;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        calls = new HttpCalls();
        server = new ServerSocket(0, 2 * CALLS, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        released.countDown();
        server.close();
        calls.close();
    }

    /** What a service does with a connection. */
    @FunctionalInterface
    private interface Behaviour {
        void answer(OutputStream out) throws Exception;
    }

    private void serve(Behaviour behaviour) {
        daemon(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                daemon(() -> {
                    try (socket) {
                        socket.getInputStream().read(new byte[REQUEST_BYTES]);
                        behaviour.answer(socket.getOutputStream());
                    }
                });
            }
        });
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The client closes what it gives up, and the end of the test the rest.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Work that may fail. */
    @FunctionalInterface
    private interface Work {
        void run() throws Exception;
    }

    private CompletableFuture<Either<HttpFailure, HttpAnswer>> call(long timeoutMs) {
        Address to = new Address("127.0.0.1", server.getLocalPort());
        return calls.call(new HttpCall(to, "GET", "/x", Map.of(), "", timeoutMs))
                .toCompletableFuture();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(US_ASCII));
        out.flush();
    }

    /** Every call of a node may meet the same service at once. */
    @Test
    void callsAtOnceHoldNoMoreThanOneBoundTogether() throws Exception {
        serve(out -> {
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + Integer.MAX_VALUE + "\r\n\r\n");
            out.write(new byte[PART_BYTES]);
            out.flush();
            released.await();
        });
        List<CompletableFuture<Either<HttpFailure, HttpAnswer>>> all = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            all.add(call(LONG_MS));
        }
        int atOnce = HttpCalls.MAX_HELD_BYTES / PART_BYTES;
        Await.until(
                "the calls beyond the bound to fail",
                () -> all.stream().filter(CompletableFuture::isDone).count() >= CALLS - atOnce);
        assertThat(all)
                .filteredOn(CompletableFuture::isDone)
                .allMatch(c -> c.join().isLeft());
    }

    @Test
    void whatACallHeldIsFreeAfterIt() throws Exception {
        serve(out -> {
            write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + PART_BYTES + "\r\n\r\n");
            out.write(new byte[PART_BYTES]);
            out.flush();
        });
        for (int i = 0; i < CALLS; i++) {
            assertThat(call(LONG_MS).join().isRight()).isTrue();
        }
    }

    @Test
    void anAnswerThatGoesOnUntilItsTimeIsOverEndsThere() {
        serve(out -> {
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                write(out, "1\r\nx\r\n");
                Thread.sleep(5);
            }
        });
        assertThat(call(500).join().getLeft().detail()).contains("500 ms");
    }

    @Test
    void aHeadWithoutEndFailsAtItsBound() {
        serve(out -> {
            write(out, "HTTP/1.1 200 OK\r\n");
            while (true) {
                write(out, "X-More: 0123456789012345678901234567890123456789\r\n".repeat(20));
            }
        });
        assertThat(call(LONG_MS).join().isLeft()).isTrue();
    }

    /** Such an answer was taken as whole, with the wrong one of two ends. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 1\r\nContent-Length: 2",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding : chunked",
                "X: a\r\n Content-Length: 1",
                "X: a\nContent-Length: 1"
            })
    void anAnswerWhoseEndIsAmbiguousFailsTheCall(String framing) {
        serve(out -> write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n"));
        assertThat(call(LONG_MS).join().isLeft()).isTrue();
    }
}
