package org.fuchsiadeck.node.run;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.ConfigMessage;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.testing.Await;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against events and timers being reduced out of order, a failure that stops the loop, and an unbounded queue of
 * new work.
 */
class EventLoopTest {
    private static final int MORE_THAN_QUEUE_LIMIT = 20_000;

    private record TestEvent(String text) implements Event {}

    private final List<String> processed = new CopyOnWriteArrayList<>();
    private final NodeState initial =
            NodeState.initial(new Identity(new NodeId("n"), new Zone("z"), new Address("127.0.0.1", 1), 1));

    @Test
    void firesTimersByDueTimeAndThenInOrderOfScheduling() throws Exception {
        EventReducer reducer = (state, now, wall, event) -> {
            processed.add(((TestEvent) event).text());
            return event.equals(new TestEvent("go"))
                    ? Step.of(state, schedule(now + 30, "c"), schedule(now + 10, "a"), schedule(now + 10, "b"))
                    : Step.of(state);
        };
        try (EventLoop loop = startLoop(reducer, e -> {})) {
            loop.post(new TestEvent("go"));
            Await.until("all timers", () -> processed.size() == 4);
            assertThat(processed).containsExactly("go", "a", "b", "c");
        }
    }

    /** A loop that runs late must not fire the time limit of a connection that was made in time. */
    @Test
    void reducesEventBeforeTimerThatBecameDueAfterIt() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        EventReducer reducer = (state, now, wall, event) -> {
            processed.add(((TestEvent) event).text());
            if (event.equals(new TestEvent("go"))) {
                return Step.of(state, schedule(now + 30, "time limit"), new Effect.Stop());
            }
            return Step.of(state);
        };
        try (EventLoop loop = startLoop(reducer, e -> awaitQuietly(released))) {
            loop.post(new TestEvent("go"));
            Await.until("the effect", () -> processed.contains("go"));
            loop.post(new TestEvent("connected"));
            long afterTimeLimit = loop.nowMs() + 100;
            Await.until("the time limit", () -> loop.nowMs() > afterTimeLimit);
            loop.post(new TestEvent("after"));
            released.countDown();
            Await.until("all", () -> processed.size() == 4);
        }
        assertThat(processed).containsExactly("go", "connected", "time limit", "after");
    }

    @Test
    void continuesAfterFailureOfReducerOrEffect() throws Exception {
        EventReducer reducer = (state, now, wall, event) -> {
            if (event.equals(new TestEvent("bad"))) {
                throw new IllegalStateException("bad");
            }
            return Step.of(state, new Effect.Stop(), new Effect.Stop());
        };
        EffectHandler<Effect> effects = e -> {
            processed.add("effect");
            throw new IllegalStateException("effect");
        };
        try (EventLoop loop = startLoop(reducer, effects)) {
            loop.post(new TestEvent("bad"));
            loop.post(new TestEvent("good"));
            Await.until("both effects", () -> processed.size() == 2);
        }
    }

    @Test
    void rejectsNewWorkButNotResultsWhenQueueIsFull() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        EventReducer reducer = (state, now, wall, event) -> {
            awaitQuietly(released);
            processed.add("event");
            return Step.of(state);
        };
        try (EventLoop loop = startLoop(reducer, e -> {})) {
            int accepted = 0;
            while (accepted < MORE_THAN_QUEUE_LIMIT && loop.offer(new TestEvent("new"))) {
                accepted++;
            }
            assertThat(accepted).isLessThan(MORE_THAN_QUEUE_LIMIT);
            loop.post(new TestEvent("result"));
            released.countDown();
            int expected = accepted + 1;
            Await.until("all accepted events", () -> processed.size() == expected);
        }
    }

    /** Requests came in faster than they were decided, and configurations waited for seconds behind them. */
    @Test
    void aConfigurationIsNotDelayedByQueuedRequests() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        EventReducer reducer = (state, now, wall, event) -> {
            if (event.equals(new TestEvent("hold"))) {
                held.countDown();
                awaitQuietly(released);
            }
            processed.add(event.getClass().getSimpleName());
            return event instanceof ConfigEvent.Parsed
                    ? Step.of(state, new Effect.Schedule(now, new ConfigEvent.Tick()))
                    : Step.of(state);
        };
        try (EventLoop loop = startLoop(reducer, e -> {})) {
            loop.post(new TestEvent("hold"));
            held.await();
            for (int i = 0; i < 100; i++) {
                loop.offer(new RequestEvent.CallerGone(new RequestId("q" + i)));
            }
            loop.post(new PlatformEvent.CallFailed("config/watch/1", "no answer", true));
            loop.post(new PeerReceived(new NodeId("peer"), new ConfigMessage.Announce(2)));
            loop.post(new ConfigEvent.Parsed(Configuration.NONE, "", "platform"));
            released.countDown();
            Await.until("all events", () -> processed.size() == 105);
            assertThat(processed.subList(0, 5))
                    .containsExactly("TestEvent", "CallFailed", "PeerReceived", "Parsed", "Tick");
        }
    }

    /** The close of a caller's connection waited behind 1,000 requests, and the request was sent in the meantime. */
    @Test
    void theCloseOfACallerIsNotDelayedByQueuedRequests() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        EventReducer reducer = (state, now, wall, event) -> {
            if (event.equals(new TestEvent("hold"))) {
                held.countDown();
                awaitQuietly(released);
            }
            processed.add(event instanceof RequestEvent.CallerGone gone ? gone.id() + " gone" : "other");
            return Step.of(state);
        };
        try (EventLoop loop = startLoop(reducer, e -> {})) {
            loop.post(new TestEvent("hold"));
            held.await();
            for (int i = 0; i < 1_000; i++) {
                loop.offer(new RequestEvent.Writing(new RequestId("q" + i), 1));
            }
            loop.post(new RequestEvent.CallerGone(new RequestId("r"), true));
            released.countDown();
            Await.until("all events", () -> processed.size() == 1_002);
            assertThat(processed.get(1)).isEqualTo("r gone");
        }
    }

    /** A loop that is not behind must not delay requests; one that was must be known as such for some time. */
    @Test
    void isBehindAfterAnEventThatWaitedLong() throws Exception {
        try (EventLoop loop = startLoop((state, now, wall, event) -> Step.of(state), e -> {})) {
            loop.post(new TestEvent("prompt"));
            Await.until(
                    "an event",
                    () -> loop.status().eventCount() == 1 && !loop.status().busy());
            assertThat(loop.isBehind()).isEqualTo(loop.status().waitMs() > RecentDelay.BEHIND_MS);
        }
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        EventReducer blocking = (state, now, wall, event) -> {
            held.countDown();
            awaitQuietly(released);
            return Step.of(state);
        };
        try (EventLoop loop = startLoop(blocking, e -> {})) {
            loop.post(new TestEvent("hold"));
            held.await();
            Await.until("the event in progress is slow", loop::isBehind);
            loop.post(new TestEvent("late"));
            Thread.sleep(2 * RecentDelay.BEHIND_MS);
            released.countDown();
            Await.until(
                    "both events",
                    () -> loop.status().eventCount() == 2 && !loop.status().busy());
            assertThat(loop.isBehind()).isTrue();
            Await.until("the loop has caught up", () -> !loop.isBehind());
        }
    }

    private EventLoop startLoop(EventReducer reducer, EffectHandler<Effect> effects) {
        EventLoop loop = new EventLoop(initial, reducer, effects, new MetricRegistry());
        loop.start();
        return loop;
    }

    private static Effect schedule(long atMs, String text) {
        return new Effect.Schedule(atMs, new TestEvent(text));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
