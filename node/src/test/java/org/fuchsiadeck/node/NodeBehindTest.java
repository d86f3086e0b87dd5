package org.fuchsiadeck.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.front.CallerProtocol;
import org.fuchsiadeck.node.front.StandardCallerProtocol;
import org.fuchsiadeck.node.settings.Limits;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.TestNode;
import org.glassfish.grizzly.http.server.Request;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A node that was out of processor time sent requests to backend servers up to 3.5 s after their callers had left. Here
 * its threads are blocked instead. Nothing may reach a server more than 0.5 s after the caller closed its connection.
 */
class NodeBehindTest {
    /** Longer than the 0.5 s within which a request may reach a server after its caller has left. */
    private static final long BLOCK_MS = 1_000;

    private static final int CALLERS = 40;

    /** At least as many as the node has selector threads. */
    private static final int BLOCKERS = 8;

    /** Requests that block a thread are not refused as slow meanwhile. */
    private static final Limits LIMITS = new Limits(4_096, 8_192, 1 << 20, 10_000, 50, 40, 64 << 20);

    private final CountDownLatch released = new CountDownLatch(1);

    @Test
    void sendsNoRequestWhoseCallerLeftWhileTheEventLoopWasBlocked() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"));
                TestNode node = new TestNode(backend)) {
            CountDownLatch blocked = new CountDownLatch(1);
            node.beforeReduction(e -> blockFirstArrival(e, blocked));
            try (Caller present = node.caller()) {
                present.get("/registers/present");
                blocked.await();
                List<Caller> leaving = send(node);
                Await.until("all are read", () -> node.gauge("loop.queued") >= CALLERS);
                close(leaving);
                Thread.sleep(BLOCK_MS);
                released.countDown();
                assertThat(present.answer().status()).isEqualTo(200);
            }
            assertOnlyPresentIsServed(node, backend);
        }
    }

    @Test
    void sendsNoRequestWhoseCallerLeftWhileTheSelectorThreadsWereBlocked() throws Exception {
        AtomicInteger blocked = new AtomicInteger();
        try (FakeServer backend = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"));
                TestNode node = new TestNode(LIMITS, blockingProtocol(blocked), backend)) {
            List<Caller> leaving = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                leaving.add(node.caller());
            }
            Await.until("all are connected", () -> node.gauge("front.connections") >= CALLERS);
            List<Caller> blockers = blockSelectorThreads(node, CALLERS, blocked);
            for (Caller caller : leaving) {
                caller.get("/registers/leaving");
            }
            close(leaving);
            Thread.sleep(BLOCK_MS);
            released.countDown();
            try (Caller present = node.caller()) {
                assertThat(present.get("/registers/present").answer().status()).isEqualTo(200);
            }
            close(blockers);
            assertOnlyPresentIsServed(node, backend);
        }
    }

    @Test
    void countsTheTimeOfACallerFromBeforeTheSelectorThreadsWereBlocked() throws Exception {
        AtomicInteger blocked = new AtomicInteger();
        try (FakeServer backend = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"));
                TestNode node = new TestNode(LIMITS, blockingProtocol(blocked), backend);
                Caller early = node.caller();
                Caller late = node.caller()) {
            Await.until("both are connected", () -> node.gauge("front.connections") == 2);
            early.get("/registers/early").answer();
            long startNanos = System.nanoTime();
            List<Caller> blockers = blockSelectorThreads(node, 2, blocked);
            late.get("/registers/late");
            long sentAfterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(BLOCK_MS);
            released.countDown();
            assertThat(late.answer().status()).isEqualTo(200);
            close(blockers);
            long countedAfterMs = receivedMs(node, "/registers/late") - receivedMs(node, "/registers/early");
            assertThat(countedAfterMs - sentAfterMs).isLessThan(BLOCK_MS / 2);
        }
    }

    private static long receivedMs(TestNode node, String path) {
        return node.events(RequestEvent.Arrived.class).stream()
                .filter(a -> a.call().path().equals(path))
                .findFirst()
                .orElseThrow()
                .receivedMs()
                .getAsLong();
    }

    /** Blocks all selector threads of a node that has some connections already. */
    private static List<Caller> blockSelectorThreads(TestNode node, int connections, AtomicInteger blocked)
            throws Exception {
        List<Caller> blockers = new ArrayList<>();
        for (int i = 0; i < BLOCKERS; i++) {
            blockers.add(node.caller());
        }
        Await.until("all are connected", () -> node.gauge("front.connections") >= connections + BLOCKERS);
        for (Caller blocker : blockers) {
            blocker.get("/block");
        }
        int threads = Math.min(4, Runtime.getRuntime().availableProcessors());
        Await.until("all threads are blocked", () -> blocked.get() >= threads);
        return blockers;
    }

    private static void assertOnlyPresentIsServed(TestNode node, FakeServer backend) throws Exception {
        Await.until("the node is idle", () -> node.gauge("requests.open") == 0 && node.gauge("front.connections") == 0);
        assertThat(backend.received).extracting(m -> m.start()).containsExactly("GET /registers/present HTTP/1.1");
        assertThat(node.requests.counters().callersGone()).isEqualTo(CALLERS);
        assertThat(node.requests.fleet().servers().values()).allMatch(s -> s.inFlight() == 0);
        assertThat(node.requests.fleet().servers().values())
                .noneMatch(s -> s.health().isSuspected(0));
    }

    private void blockFirstArrival(Event event, CountDownLatch blocked) {
        if (event instanceof RequestEvent.Arrived && blocked.getCount() > 0) {
            blocked.countDown();
            awaitRelease();
        }
    }

    /** Returns a protocol that blocks the selector thread that reads a request for the path /block. */
    private CallerProtocol blockingProtocol(AtomicInteger blocked) {
        CallerProtocol standard = new StandardCallerProtocol();
        return (CallerProtocol) Proxy.newProxyInstance(
                CallerProtocol.class.getClassLoader(), new Class<?>[] {CallerProtocol.class}, (proxy, method, args) -> {
                    boolean head = method.getName().equals("head");
                    if (head && ((Request) args[0]).getRequestURI().equals("/block")) {
                        blocked.incrementAndGet();
                        awaitRelease();
                    }
                    try {
                        return method.invoke(standard, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private void awaitRelease() {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<Caller> send(TestNode node) throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Caller caller = node.caller();
            callers.add(
                    i % 2 == 0
                            ? caller.get("/registers/leaving")
                            : caller.post("/registers/leaving/entries", "{}", "Idempotency-Key: k" + i));
        }
        return callers;
    }

    private static void close(List<Caller> callers) throws Exception {
        for (Caller caller : callers) {
            caller.close();
        }
    }
}
