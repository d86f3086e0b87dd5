package org.fuchsiadeck.testbed.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fuchsiadeck.testbed.Until;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

@Timeout(60)
class FaultProxyTest {
    /** How long a test listens for bytes that must not come. */
    private static final int QUIET_MS = 100;

    private static final int ACCEPT_TIMEOUT_MS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final Queue<Socket> taken = new ConcurrentLinkedQueue<>();

    private ServerSocket target;

    private FaultProxy proxy;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        target.setSoTimeout(ACCEPT_TIMEOUT_MS);
        proxy = new FaultProxy(0, "127.0.0.1:" + target.getLocalPort(), group);
        proxy.start();
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        target.close();
        for (Socket socket : taken) {
            socket.close();
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** A connection through the proxy, both ends of it. */
    private record Pair(Socket caller, Socket server) {
        void callerSends(String text) throws IOException {
            caller.getOutputStream().write(text.getBytes());
        }

        void serverSends(String text) throws IOException {
            server.getOutputStream().write(text.getBytes());
        }

        boolean works() throws IOException {
            callerSends("a");
            serverSends("b");
            return server.getInputStream().read() == 'a'
                    && caller.getInputStream().read() == 'b';
        }
    }

    private Pair connect() throws IOException {
        int port = Integer.parseInt(proxy.address().split(":")[1]);
        Socket caller = new Socket("127.0.0.1", port);
        Socket server = target.accept();
        taken.add(caller);
        taken.add(server);
        return new Pair(caller, server);
    }

    private static void isQuiet(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MS);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(0);
    }

    private static int readOrEnd(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    @Test
    void passesALongAnswerWholeThatItsServerClosesAfter() throws IOException {
        Pair pair = connect();
        byte[] answer = new byte[4 << 20];
        Thread sender = new Thread(() -> {
            try {
                pair.server.getOutputStream().write(answer);
                pair.server.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        sender.start();
        assertThat(pair.caller.getInputStream().readAllBytes()).hasSize(answer.length);
    }

    @Test
    void passesBytesAndClosingsBothWays() throws IOException {
        Pair pair = connect();
        assertThat(pair.works()).isTrue();
        pair.caller.shutdownOutput();
        assertThat(pair.server.getInputStream().read()).isEqualTo(-1);
        pair.serverSends("c");
        assertThat(pair.caller.getInputStream().read()).isEqualTo('c');
        pair.server.close();
        assertThat(pair.caller.getInputStream().read()).isEqualTo(-1);
        Until.isTrue(() -> proxy.stats().open() == 0);
    }

    @Test
    void silencesOldConnectionsOnly() throws IOException {
        Pair old = connect();
        assertThat(old.works()).isTrue();
        proxy.faults(ProxyFaults.of(ProxyAction.SILENCE));
        Pair fresh = connect();
        assertThat(fresh.works()).isTrue();
        old.callerSends("lost");
        old.serverSends("lost");
        Until.isTrue(() -> proxy.stats().swallowed() == 8);
        isQuiet(old.caller);
        old.server.close();
        isQuiet(old.caller);
        assertThat(fresh.works()).isTrue();
    }

    @Test
    void silencesOneWay() throws IOException {
        Pair pair = connect();
        proxy.faults(ProxyFaults.of(ProxyAction.SILENCE_TO_CALLER));
        pair.callerSends("x");
        assertThat(pair.server.getInputStream().read()).isEqualTo('x');
        pair.serverSends("lost");
        Until.isTrue(() -> proxy.stats().swallowed() == 4);
        isQuiet(pair.caller);
    }

    @Test
    void cutsAllConnections() throws IOException {
        Pair pair = connect();
        assertThat(pair.works()).isTrue();
        proxy.faults(ProxyFaults.of(ProxyAction.CUT));
        assertThat(readOrEnd(pair.caller)).isEqualTo(-1);
        assertThat(readOrEnd(pair.server)).isEqualTo(-1);
        assertThat(connect().works()).isTrue();
        assertThat(proxy.stats().cut()).isEqualTo(1);
    }

    @Test
    void cutsAfterBytesToTheCaller() throws IOException {
        proxy.faults(ProxyFaults.cuttingAfter(Direction.TO_CALLER, 3));
        Pair pair = connect();
        pair.serverSends("abcdef");
        assertThat(new String(pair.caller.getInputStream().readNBytes(3))).isEqualTo("abc");
        assertThat(readOrEnd(pair.caller)).isEqualTo(-1);
    }

    @Test
    void refusesNewConnectionsAndKeepsOldOnes() throws IOException {
        Pair old = connect();
        proxy.faults(ProxyFaults.refusing());
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
        assertThat(old.works()).isTrue();
        proxy.faults(ProxyFaults.none());
        assertThat(connect().works()).isTrue();
    }

    @Test
    void holdsAnswersUntilReleased() throws IOException {
        Pair pair = connect();
        proxy.faults(ProxyFaults.holdingAnswers());
        pair.serverSends("late");
        isQuiet(pair.caller);
        proxy.faults(ProxyFaults.none());
        assertThat(new String(pair.caller.getInputStream().readNBytes(4))).isEqualTo("late");
    }

    @Test
    void halfClosesTowardsTheCaller() throws IOException {
        Pair pair = connect();
        proxy.faults(ProxyFaults.of(ProxyAction.HALF_CLOSE_TO_CALLER));
        assertThat(pair.caller.getInputStream().read()).isEqualTo(-1);
        pair.callerSends("x");
        assertThat(pair.server.getInputStream().read()).isEqualTo('x');
    }

    @Test
    void delayedAndTricklingBytesArriveWholeAndInOrder() throws IOException {
        Pair pair = connect();
        proxy.faults(ProxyFaults.delaying(20));
        pair.callerSends("first ");
        proxy.faults(ProxyFaults.trickling(2_000));
        pair.callerSends("x".repeat(200));
        String came = new String(pair.server.getInputStream().readNBytes(206));
        assertThat(came).isEqualTo("first " + "x".repeat(200));
    }

    @Test
    void closesTheCallerWhenTheTargetIsDown() throws IOException {
        target.close();
        int port = Integer.parseInt(proxy.address().split(":")[1]);
        try (Socket caller = new Socket("127.0.0.1", port)) {
            assertThat(readOrEnd(caller)).isEqualTo(-1);
        }
        Until.isTrue(() -> proxy.stats().open() == 0);
    }
}
