package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.fuchsiadeck.node.testing.Await;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerResponseTest {
    private static final Refusal BROKEN_OFF = new Refusal(Outcome.UNKNOWN, 502, 0, "backend_closed", "broken off");
    private static final int MAX_BYTES = 1 << 20;
    private static final long SLOW_MS = 10_000;

    private final ByteBudget budget = new ByteBudget(MAX_BYTES);
    private final SelectorDelays delays = new SelectorDelays();
    private TCPNIOTransport transport;
    private Socket caller;
    private Connection<?> connection;

    @BeforeEach
    void connect() throws Exception {
        AtomicReference<Connection<?>> accepted = new AtomicReference<>();
        transport = TCPNIOTransportBuilder.newInstance().build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new ConnectionGuard(1, SLOW_MS, budget, delays))
                .add(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext ctx) {
                        accepted.set(ctx.getConnection());
                        return ctx.getInvokeAction();
                    }
                })
                .build());
        InetSocketAddress address =
                (InetSocketAddress) transport.bind("127.0.0.1", 0).getLocalAddress();
        transport.start();
        caller = new Socket(address.getAddress(), address.getPort());
        Await.until("the connection", () -> accepted.get() != null);
        connection = accepted.get();
    }

    @AfterEach
    void close() throws IOException {
        delays.close();
        caller.close();
        transport.shutdownNow();
    }

    /** A protocol in which a stream that has begun can't be ended by an error. */
    private static CallerProtocol protocol() {
        return (CallerProtocol) Proxy.newProxyInstance(
                CallerProtocol.class.getClassLoader(),
                new Class<?>[] {CallerProtocol.class},
                (proxy, method, arguments) -> method.getName().equals("refusalEvent") ? Optional.empty() : List.of());
    }

    /** The event loop broke off a stream and waited for ever for the thread that looks for stalled callers, and that for it. */
    @Test
    void breakingOffAStreamDoesNotWaitForTheSearchForStalledCallers() throws Exception {
        CallerConnection guarded = CallerConnection.of(connection);
        BlockingQueue<Runnable> writes = new LinkedBlockingQueue<>();
        CallerResponse response =
                new CallerResponse(null, connection, new RequestId("q1"), writes::add, () -> false, protocol(), budget);
        guarded.begin(response, refusal -> {});
        response.startStream(List.of());
        writes.clear();
        CountDownLatch searching = new CountDownLatch(1);
        CompletableFuture<Void> brokenOff = new CompletableFuture<>();
        Thread loop = new Thread(() -> {
            response.refuse(BROKEN_OFF);
            brokenOff.complete(null);
        });
        CompletableFuture<Boolean> stalled = CompletableFuture.supplyAsync(() -> {
            synchronized (guarded) {
                searching.countDown();
                awaitBlockedOrDone(loop);
                return response.isStalled(SLOW_MS);
            }
        });
        searching.await();
        loop.start();
        brokenOff.get(5, TimeUnit.SECONDS);
        assertThat(stalled.get(5, TimeUnit.SECONDS)).isFalse();
        writes.remove().run();
        assertThat(connection.isOpen()).isFalse();
    }

    private static void awaitBlockedOrDone(Thread thread) {
        while (thread.getState() != Thread.State.BLOCKED && thread.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
    }
}
