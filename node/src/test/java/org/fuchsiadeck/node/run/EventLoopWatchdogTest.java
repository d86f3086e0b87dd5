package org.fuchsiadeck.node.run;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.node.testing.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an event loop that stalls on an event or dies of an error while the ports of the node still answer, and
 * against reporting a busy or closed loop as lost.
 */
class EventLoopWatchdogTest {
    private record Note() implements Event {}

    private final CountDownLatch released = new CountDownLatch(1);
    private final List<Effect.Log> logged = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private EventLoopWatchdog watchdog;

    private void start(EventReducer reducer) {
        NodeState initial =
                NodeState.initial(new Identity(new NodeId("n"), new Zone("z"), new Address("127.0.0.1", 1), 1));
        loop = new EventLoop(initial, reducer, e -> {}, new MetricRegistry());
        watchdog = new EventLoopWatchdog(loop, logged::add, () -> {});
        loop.start();
        loop.post(new Note());
    }

    @AfterEach
    void stop() {
        released.countDown();
        loop.close();
    }

    private int checksUntilLost() {
        int checks = 1;
        while (!watchdog.check() && checks < 10 * EventLoopWatchdog.CHECKS_UNTIL_LOST) {
            checks++;
        }
        return checks;
    }

    private Step<NodeState> hold(NodeState state) {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Step.of(state);
    }

    @Test
    void logsStackOfStalledEventAndThenReportsLoopAsLost() throws Exception {
        start((state, now, wall, event) -> hold(state));
        Await.until("the event", () -> loop.status().busy());
        assertThat(checksUntilLost()).isEqualTo(EventLoopWatchdog.CHECKS_UNTIL_LOST + 1);
        assertThat(logged).extracting(Effect.Log::code).containsExactly(EventCode.LOOP_BUSY, EventCode.LOOP_LOST);
        assertThat(logged.get(0).fields()).containsEntry("event", "Note");
        assertThat(logged.get(0).fields().get("stack").toString()).contains("EventLoopWatchdogTest.hold");
    }

    @Test
    void reportsLoopWhoseThreadDiedOfAnErrorAsLost() throws Exception {
        start((state, now, wall, event) -> {
            throw new StackOverflowError();
        });
        Await.until("the end of the thread", () -> loop.status().hasDied());
        assertThat(watchdog.check()).isTrue();
        assertThat(logged).extracting(Effect.Log::code).containsExactly(EventCode.LOOP_LOST);
    }

    @Test
    void ignoresLoopThatIsBusyWithDifferentEvents() throws Exception {
        start((state, now, wall, event) -> Step.of(state, new Effect.Schedule(now, new Note())));
        for (int i = 0; i < 3 * EventLoopWatchdog.CHECKS_UNTIL_LOST; i++) {
            long before = loop.status().eventCount();
            Await.until("another event", () -> loop.status().eventCount() > before);
            assertThat(watchdog.check()).isFalse();
        }
        assertThat(logged).isEmpty();
    }

    @Test
    void logsWhenEventsWaitAndWhenTheyDoNotWaitAnyMore() throws Exception {
        start((state, now, wall, event) -> hold(state));
        loop.post(new Note());
        Thread.sleep(EventLoopWatchdog.BEHIND_MS);
        released.countDown();
        Await.until("both events", () -> loop.status().eventCount() == 2);
        watchdog.check();
        watchdog.check();
        loop.post(new Note());
        Await.until("the third event", () -> loop.status().eventCount() == 3);
        watchdog.check();
        assertThat(logged)
                .extracting(Effect.Log::code)
                .containsExactly(EventCode.LOOP_BEHIND, EventCode.LOOP_CAUGHT_UP);
        assertThat((long) logged.get(0).fields().get("wait_ms")).isGreaterThanOrEqualTo(EventLoopWatchdog.BEHIND_MS);
    }

    @Test
    void doesNotReportClosedLoopAsLost() {
        start((state, now, wall, event) -> Step.of(state));
        loop.close();
        assertThat(watchdog.check()).isFalse();
    }
}
