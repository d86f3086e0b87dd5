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

class EventLoopWatchdogTest {
    private record Note() implements Event {}

    private final CountDownLatch held = new CountDownLatch(1);
    private final List<Effect.Log> lines = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private EventLoopWatchdog watch;

    private void start(EventReducer decisions) {
        NodeState initial =
                NodeState.initial(new Identity(new NodeId("n"), new Zone("z"), new Address("127.0.0.1", 1), 1));
        loop = new EventLoop(initial, decisions, e -> {}, new MetricRegistry());
        watch = new EventLoopWatchdog(loop, lines::add, () -> {});
        loop.start();
        loop.post(new Note());
    }

    @AfterEach
    void stop() {
        held.countDown();
        loop.close();
    }

    private int looksUntilLost() {
        int looks = 1;
        while (!watch.check() && looks < 10 * EventLoopWatchdog.CHECKS_UNTIL_LOST) {
            looks++;
        }
        return looks;
    }

    private Step<NodeState> hold(NodeState state) {
        try {
            held.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Step.of(state);
    }

    @Test
    void logsTheStackOfAnEventThatDoesNotEndAndThenGivesTheLoopUp() throws Exception {
        start((state, now, wall, event) -> hold(state));
        Await.until("the event", () -> loop.status().busy());
        assertThat(looksUntilLost()).isEqualTo(EventLoopWatchdog.CHECKS_UNTIL_LOST + 1);
        assertThat(lines).extracting(Effect.Log::code).containsExactly(EventCode.LOOP_BUSY, EventCode.LOOP_LOST);
        assertThat(lines.get(0).fields()).containsEntry("event", "Note");
        assertThat(lines.get(0).fields().get("stack").toString()).contains("LoopWatchTest.hold");
    }

    @Test
    void noticesALoopThatEndedByAnError() throws Exception {
        start((state, now, wall, event) -> {
            throw new StackOverflowError();
        });
        Await.until("the end of the thread", () -> loop.status().hasDied());
        assertThat(watch.check()).isTrue();
        assertThat(lines).extracting(Effect.Log::code).containsExactly(EventCode.LOOP_LOST);
    }

    @Test
    void leavesALoopAloneThatIsAlwaysBusyWithAnotherEvent() throws Exception {
        start((state, now, wall, event) -> Step.of(state, new Effect.Schedule(now, new Note())));
        for (int i = 0; i < 3 * EventLoopWatchdog.CHECKS_UNTIL_LOST; i++) {
            long before = loop.status().eventCount();
            Await.until("another event", () -> loop.status().eventCount() > before);
            assertThat(watch.check()).isFalse();
        }
        assertThat(lines).isEmpty();
    }

    @Test
    void takesNoClosedLoopForALostOne() {
        start((state, now, wall, event) -> Step.of(state));
        loop.close();
        assertThat(watch.check()).isFalse();
    }
}
